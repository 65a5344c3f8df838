package rules

// Model is one model that engines serve, with the weight version that new requests use.
type Model struct {
	// Name is what callers put into the field model.
	Name string `cbor:"name"`
	// WeightVersion is the version that new requests use; read by entry/completion and fleet/orders.
	WeightVersion string `cbor:"weight-version"`
	// PieceTokens is the number of prompt tokens in one cache piece; read by entry/completion.
	PieceTokens int `cbor:"piece-tokens"`
	// ContextTokens is the longest prompt and answer together.
	ContextTokens int `cbor:"context-tokens"`
}
