// Package directory holds hints of where pieces of KV cache are.
//
// Each node of a cell holds a share of the keys, two nodes each key. What a
// directory says is never trusted: a read names key and generation and the
// store compares them, and an engine recomputes what it no longer holds. The
// package opens no socket and reads no clock.
package directory
