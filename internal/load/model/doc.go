// Package model runs a workload against small fakes of engines, stores, links
// and entries in virtual time, so that routing strategies can be compared on the
// same requests.
//
// It models what the decisions read and cause: prefill in chunks with continuous
// batching and priorities, an LRU of cache pieces, load reports with a lag, late
// and gappy cache events, links with a byte rate, and entries that each have
// their own late view. It models no processes, no consensus and no network loss.
package model
