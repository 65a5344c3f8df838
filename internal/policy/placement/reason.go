package placement

// Reason is the reason why pieces are exported or not.
type Reason string

const (
	// WorthTheLink means that at least one piece is worth its link time.
	WorthTheLink Reason = "worth-the-link"
	// NotAllowed means that the rules forbid exports.
	NotAllowed Reason = "not-allowed"
	// NoStore means that no store is reachable.
	NoStore Reason = "no-store"
	// Stored means that every piece is already in a store.
	Stored Reason = "stored"
	// NotWorthTheLink means that no piece is worth its link time.
	NotWorthTheLink Reason = "not-worth-the-link"
)
