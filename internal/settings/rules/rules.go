package rules

import "time"

// Rules are the effective rules for the requests of one workspace to one model or service.
type Rules struct {
	// Priority orders requests at entries and engines; higher goes first; read by policy/route and entry/completion.
	Priority int `cbor:"priority"`
	// Deadline is the time limit for the first token or the answer; a request that cannot meet it is refused immediately; read by entry/completion and entry/service.
	Deadline time.Duration `cbor:"deadline"`
	// Worth is the weight of an answered request when not all requests can be served.
	Worth float64 `cbor:"worth"`
	// Share is the workspace's weight in fair queueing.
	Share float64 `cbor:"share"`
	// FirstTokenPrice is the price of one second until the first token; read by policy/route and policy/placement.
	FirstTokenPrice float64 `cbor:"first-token-price"`
	// RecomputePrice is the price of recomputing one thousand prompt tokens; read by policy/route and policy/placement.
	RecomputePrice float64 `cbor:"recompute-price"`
	// LinkPrice is the price of one second of use of a store's link; read by policy/route and policy/placement.
	LinkPrice float64 `cbor:"link-price"`
	// RetryShare is the share of the workspace's requests that may be retried; read by entry/completion.
	RetryShare float64 `cbor:"retry-share"`
	// MaxBody is the maximum size of a request body in bytes; read by entry/caller.
	MaxBody int64 `cbor:"max-body"`
	// MaxInFlight is the maximum number of the workspace's concurrent requests at one entry; read by entry/caller.
	MaxInFlight int `cbor:"max-in-flight"`
	// NonIdempotent marks calls that must run at most once; read by entry/caller and entry/service.
	NonIdempotent bool `cbor:"non-idempotent"`
	// LedgerKeep is how long the outcome of a non-idempotent call is kept; read by entry/service.
	LedgerKeep time.Duration `cbor:"ledger-keep"`
	// CacheExport reports whether prefixes are written to stores; read by policy/placement.
	CacheExport bool `cbor:"cache-export"`
}
