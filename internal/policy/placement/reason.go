package placement

// Reason says why pieces are exported or not.
type Reason string

const (
	// WorthTheLink means that at least one piece is worth its link time.
	WorthTheLink Reason = "worth-the-link"
	// NotAllowed means that the rules forbid exports.
	NotAllowed Reason = "not-allowed"
	// NoStore means that no store can be reached.
	NoStore Reason = "no-store"
	// Stored means that every piece is in a store already.
	Stored Reason = "stored"
	// NotWorth means that no piece is worth its link time.
	NotWorth Reason = "not-worth-the-link"
)
