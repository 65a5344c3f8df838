// Package engine tells model engines to write pieces of their KV cache to
// stores, as docs/interfaces/cache.md says.
package engine
