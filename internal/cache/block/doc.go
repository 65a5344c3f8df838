// Package block computes the keys of pieces of KV cache.
//
// A key is a SHA-256 chain over the workspace, the model, the weight version,
// the adapter, the parent's key and the piece's tokens. Two workspaces or two
// weight versions never share a key, so that a lookup can't return a piece of
// another one even if the directory or a store is wrong.
package block
