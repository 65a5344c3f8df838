package route

// Source is the origin of a piece of the prompt.
type Source uint8

const (
	// InMemory means that the engine holds the piece in memory.
	InMemory Source = iota
	// Import means that the engine imports the piece from a store.
	Import
	// Recompute means that the engine computes the piece.
	Recompute
)

var sourceNames = [...]string{InMemory: "in-memory", Import: "import", Recompute: "recompute"}

// String returns the name of s that is used in logs.
func (s Source) String() string {
	return sourceNames[s]
}
