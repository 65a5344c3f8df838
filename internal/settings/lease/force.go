package lease

import "time"

// Force says whether a revision is in force everywhere.
type Force struct {
	// InForce says that no entry can take new work under an older revision.
	InForce bool `cbor:"in-force"`
	// Waiting are the entries that have not applied it, sorted.
	Waiting []string `cbor:"waiting,omitempty"`
	// After is how long to wait at most until their leases have run out, 0 when that is not known.
	After time.Duration `cbor:"after,omitempty"`
}
