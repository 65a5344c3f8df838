// Package engine is a stand-in for a model engine. It has continuous batching with
// a prefill rate, a prefix cache with LRU eviction, export and import of cache
// pieces, delayed cache events, and orders, as specified in docs/interfaces.
package engine
