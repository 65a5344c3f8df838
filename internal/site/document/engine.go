package document

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests run concurrently.
	Slots int `cbor:"slots"`
	// CapacityTokens is the memory for running requests and cached parts, in tokens.
	CapacityTokens int `cbor:"tokens"`
	// TokenBytes is the size of a token's KV cache.
	TokenBytes float64 `cbor:"token-bytes"`
	// LinkRate is the rate of the link for KV cache transfers, in bytes per second.
	LinkRate float64 `cbor:"link-rate"`
	// Managed is set if the stores of the engines keep parts until they are freed.
	Managed bool `cbor:"managed"`
	// TokensPerEvent is how many tokens one event of a stream contains.
	TokensPerEvent int `cbor:"stride"`
	// MaxFeeds is how many concurrent polls for cache events a server accepts.
	MaxFeeds int `cbor:"max-feeds"`
	// Models are the models that the engines run.
	Models []string `cbor:"models"`
}
