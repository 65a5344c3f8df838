package rules

import "time"

// Rules are the effective rules for the requests of one workspace to one model or service.
type Rules struct {
	// Priority orders requests at entries and engines; higher goes first.
	Priority int `cbor:"priority"`
	// Deadline is how long a caller waits for the first token or the answer; what cannot make it is refused at once.
	Deadline time.Duration `cbor:"deadline"`
	// Worth is the weight of one answered request when not all can be served.
	Worth float64 `cbor:"worth"`
	// Share is the workspace's weight in fair queueing.
	Share float64 `cbor:"share"`
	// FirstTokenPrice is the price of one second until the first token.
	FirstTokenPrice float64 `cbor:"first-token-price"`
	// RecomputePrice is the price of one thousand prompt tokens that are computed again.
	RecomputePrice float64 `cbor:"recompute-price"`
	// LinkPrice is the price of one second of a store's link.
	LinkPrice float64 `cbor:"link-price"`
	// RetryShare is the share of the workspace's requests that may be tried a second time.
	RetryShare float64 `cbor:"retry-share"`
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `cbor:"max-body"`
	// MaxInFlight is the largest number of the workspace's requests that run at one entry.
	MaxInFlight int `cbor:"max-in-flight"`
	// NonIdempotent marks calls that must run at most once.
	NonIdempotent bool `cbor:"non-idempotent"`
	// LedgerKeep is how long the outcome of a non-idempotent call is kept.
	LedgerKeep time.Duration `cbor:"ledger-keep"`
	// CacheExport says whether prefixes are written to stores.
	CacheExport bool `cbor:"cache-export"`
}
