// Package engine requests model engines to export pieces of their KV cache to
// stores, as specified in docs/interfaces/cache.md.
package engine
