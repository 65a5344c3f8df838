// Package engine is a stand-in of a model engine: continuous batching with a
// prefill rate, a prefix cache with LRU eviction, export and import of cache
// pieces, late cache events and orders, as docs/interfaces says.
package engine
