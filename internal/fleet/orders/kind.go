package orders

// Kind is the kind of an order.
type Kind string

const (
	// LoadWeights loads a weight version and replaces another version of the model, if any.
	LoadWeights Kind = "load-weights"
	// UnloadWeights unloads a weight version.
	UnloadWeights Kind = "unload-weights"
	// LoadAdapter loads an adapter of a held weight version.
	LoadAdapter Kind = "load-adapter"
	// UnloadAdapter unloads an adapter.
	UnloadAdapter Kind = "unload-adapter"
	// SetRole changes the engine's role.
	SetRole Kind = "set-role"
)
