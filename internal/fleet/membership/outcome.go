package membership

// Outcome says what a merge did.
type Outcome string

const (
	// Accepted means that the announcement is now the newest one known.
	Accepted Outcome = "accepted"
	// Duplicate means that it was known already.
	Duplicate Outcome = "duplicate"
	// Stale means that a newer one was known already.
	Stale Outcome = "stale"
	// Refused means that it contradicts the limits or another server.
	Refused Outcome = "refused"
)
