package suspicion

// Standing is what is thought of a fingerprint.
type Standing string

const (
	// Clear means that nothing speaks against it.
	Clear Standing = "clear"
	// Suspect means that fewer servers than the limit were lost under it; it runs alone among suspects.
	Suspect Standing = "suspect"
	// Quarantined means that it isn't run until an operator clears it.
	Quarantined Standing = "quarantined"
)
