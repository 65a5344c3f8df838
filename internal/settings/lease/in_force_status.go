package lease

import "time"

// InForceStatus reports whether a revision is in force everywhere.
type InForceStatus struct {
	// InForce reports whether no entry can accept new work under an older revision.
	InForce bool `cbor:"in-force"`
	// Waiting are the names of the entries that have not applied the revision, sorted.
	Waiting []string `cbor:"waiting,omitempty"`
	// MaxWait is the maximum time until their leases have expired, 0 if it is not known.
	MaxWait time.Duration `cbor:"after,omitempty"`
}
