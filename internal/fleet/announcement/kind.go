package announcement

// Kind is the kind of a backend server.
type Kind string

const (
	// Engine is a model engine.
	Engine Kind = "engine"
	// Service is a plain service.
	Service Kind = "service"
	// Store is a store VM with memory and disk for KV cache.
	Store Kind = "store"
)
