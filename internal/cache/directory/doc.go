// Package directory holds hints about the locations of pieces of KV cache.
//
// Each node of a cell holds a share of the keys, and each key has two holders.
// The entries of a directory are only hints: a read includes key and generation
// and the store compares them, and an engine recomputes pieces that it no
// longer holds. The package opens no socket and reads no clock.
package directory
