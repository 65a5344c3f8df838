package directory

// State is a step in the life of a piece in a store; it only moves forward within one generation.
type State uint8

const (
	// Writing means that an engine was told to export the piece.
	Writing State = iota + 1
	// Sealed means that the store holds the piece whole; only sealed pieces are readable.
	Sealed
	// Freeing means that the piece gets no new readers and is deleted when its pins are gone.
	Freeing
	// Freed means that this generation is gone.
	Freed
	// held is the only state of a piece in an engine's memory.
	held
)

var stateNames = [...]string{"", "writing", "sealed", "freeing", "freed", "held"}

// String returns the name of s as it stands in logs.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return ""
	}
	return stateNames[s]
}
