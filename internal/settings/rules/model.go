package rules

// Model is a model that engines serve, with the weight version for new requests.
type Model struct {
	// Name is the value of the field model in callers' requests.
	Name string `cbor:"name"`
	// WeightVersion is the version that new requests use; read by entry/completion and fleet/orders.
	WeightVersion string `cbor:"weight-version"`
	// PieceTokens is the number of prompt tokens in a cache piece; read by entry/completion.
	PieceTokens int `cbor:"piece-tokens"`
	// ContextTokens is the maximum total number of tokens of prompt and answer.
	ContextTokens int `cbor:"context-tokens"`
}
