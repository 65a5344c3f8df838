package directory

// State is the state of a piece in a store; it only advances within one generation.
type State uint8

const (
	// Writing means that an engine was requested to export the piece.
	Writing State = iota + 1
	// Sealed means that the store holds the complete piece; only sealed pieces are readable.
	Sealed
	// Freeing means that the piece accepts no new readers and is deleted once it has no pins.
	Freeing
	// Freed means that this generation is deleted.
	Freed
	// held is the only state of a piece in an engine's memory.
	held
)

var stateNames = [...]string{"", "writing", "sealed", "freeing", "freed", "held"}

// String returns the name of s for logs.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return ""
	}
	return stateNames[s]
}
