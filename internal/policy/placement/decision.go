package placement

// Decision lists what is exported and says why.
type Decision struct {
	// Exports are the pieces to write, in prompt order.
	Exports []Export
	// Reason says why there are or are none.
	Reason Reason
}
