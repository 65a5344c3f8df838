package placement

// Decision lists the exports and the reason.
type Decision struct {
	// Exports are the pieces to write, in prompt order.
	Exports []Export
	// Reason is the reason why pieces are exported or not.
	Reason Reason
}
