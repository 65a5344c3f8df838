// Package model simulates engines, stores, links and entries under a workload
// in virtual time, so that routing strategies can be compared on the same
// requests.
//
// It models what the decisions read and affect: prefill in chunks with
// continuous batching and priorities, an LRU cache of pieces, load reports with
// a lag, late and lost cache events, links with a byte rate, and entries that
// each have their own delayed view. It does not model processes, consensus or
// network loss.
package model
