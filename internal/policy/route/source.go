package route

// Source is where a piece of the prompt comes from.
type Source uint8

const (
	// InMemory means that the engine holds the piece.
	InMemory Source = iota
	// Import means that the engine reads the piece from a store.
	Import
	// Recompute means that the engine computes the piece.
	Recompute
)

var sourceNames = [...]string{InMemory: "in-memory", Import: "import", Recompute: "recompute"}

// String returns the name of s as it stands in logs.
func (s Source) String() string {
	return sourceNames[s]
}
