package document

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int `cbor:"slots"`
	// CapacityTokens is the memory for running requests and cached parts.
	CapacityTokens int `cbor:"tokens"`
	// TokenBytes is the size of a token's KV cache.
	TokenBytes float64 `cbor:"token-bytes"`
	// LinkRate is what the link for moves of KV cache carries, in bytes per second.
	LinkRate float64 `cbor:"link-rate"`
	// Managed says that the stores beside the engines keep parts until they are freed.
	Managed bool `cbor:"managed"`
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int `cbor:"stride"`
	// MaxFeeds is how many polls for cache events a server holds at once.
	MaxFeeds int `cbor:"max-feeds"`
	// Models are the models that the engines run.
	Models []string `cbor:"models"`
}
