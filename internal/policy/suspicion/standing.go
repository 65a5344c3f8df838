package suspicion

// Standing is the quarantine status of a fingerprint.
type Standing string

const (
	// Clear means that no recent loss is attributed to it.
	Clear Standing = "clear"
	// Suspect means that fewer servers than the limit were lost while they ran it; a server runs at
	// most one suspect at a time.
	Suspect Standing = "suspect"
	// Quarantined means that it is not run until an operator clears it.
	Quarantined Standing = "quarantined"
)
