package announcement

// Kind says what a backend server is.
type Kind string

const (
	// Engine is a model engine.
	Engine Kind = "engine"
	// Service is a plain service.
	Service Kind = "service"
	// Store is a store VM with memory and disk for KV cache.
	Store Kind = "store"
)
