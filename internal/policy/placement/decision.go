package placement

// Decision lists the exports and the reason.
type Decision struct {
	// Exports are the pieces to write, in prompt order.
	Exports []Export
	// Reason is the reason why there are exports or none.
	Reason Reason
}
