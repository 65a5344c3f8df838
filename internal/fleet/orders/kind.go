package orders

// Kind says what an engine is told to do.
type Kind string

const (
	// LoadWeights loads a weight version, in place of another version of the model where there is one.
	LoadWeights Kind = "load-weights"
	// UnloadWeights drops a weight version.
	UnloadWeights Kind = "unload-weights"
	// LoadAdapter loads an adapter of a held weight version.
	LoadAdapter Kind = "load-adapter"
	// UnloadAdapter drops an adapter.
	UnloadAdapter Kind = "unload-adapter"
	// SetRole changes the engine's role.
	SetRole Kind = "set-role"
)
