package announcement

// Holding is one model that an engine holds.
type Holding struct {
	// Model is the model's name.
	Model string `json:"model" cbor:"model"`
	// WeightVersion is the version of its weights.
	WeightVersion string `json:"weight-version" cbor:"weight-version"`
	// Adapter is the adapter's name, empty for none.
	Adapter string `json:"adapter,omitempty" cbor:"adapter,omitempty"`
}
