package announcement

// Load is a backend server's report of its load.
type Load struct {
	// Sequence increases with each report of one incarnation.
	Sequence uint64 `json:"sequence" cbor:"sequence"`
	// AgeMillis is the age of the values when they were sent, in milliseconds.
	AgeMillis int64 `json:"age-millis" cbor:"age-millis"`
	// Running is the number of running requests.
	Running int `json:"running" cbor:"running"`
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens int64 `json:"queued-tokens" cbor:"queued-tokens"`
	// PrefillRate is the prefill speed in tokens per second.
	PrefillRate float64 `json:"prefill-rate" cbor:"prefill-rate"`
	// DecodeRate is the decode speed of one request in tokens per second.
	DecodeRate float64 `json:"decode-rate" cbor:"decode-rate"`
	// MaxRunning is the maximum batch size.
	MaxRunning int `json:"max-running" cbor:"max-running"`
	// CachePieces is the number of cache pieces that fit into engine or store memory.
	CachePieces int64 `json:"cache-pieces" cbor:"cache-pieces"`
	// FreePieces is how many of them are free.
	FreePieces int64 `json:"free-pieces" cbor:"free-pieces"`
	// LinkRate is the speed of a store's link in bytes per second; zero for other servers.
	LinkRate float64 `json:"link-rate,omitempty" cbor:"link-rate"`
	// LinkQueued is the number of bytes queued for a store's link; zero for other servers.
	LinkQueued int64 `json:"link-queued,omitempty" cbor:"link-queued"`
}
