package membership

// Outcome is the effect of a merge.
type Outcome string

const (
	// Accepted means that the announcement replaced the one in the table.
	Accepted Outcome = "accepted"
	// Duplicate means that the table already had the announcement.
	Duplicate Outcome = "duplicate"
	// Stale means that the table already had a newer one.
	Stale Outcome = "stale"
	// Refused means that the announcement exceeds a limit or conflicts with another server.
	Refused Outcome = "refused"
)
