// Package stores keeps inventories of the parts in KV cache stores and engines
// and decides which parts of a store are freed.
package stores
