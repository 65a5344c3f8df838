package lease

import "time"

// Proof is one confirmed report of an entry.
type Proof struct {
	// SentAt is the entry's clock before it sent the report.
	SentAt time.Time
	// Applied is the revision that the entry had applied when it sent the report.
	Applied uint64
	// Confirmed is the newest revision as the leader answered.
	Confirmed uint64
	// Lease is the settings lease at revision Applied.
	Lease time.Duration
}

// Expired says whether the lease that p gives has run out at now.
//
// A VM that was paused as a whole may come back with a monotonic clock that
// stood still; its wall clock is usually set right first. The lease has run
// out as soon as either clock says so, and an earlier wall clock adds nothing.
func (p Proof) Expired(now time.Time) bool {
	limit := shortened(p.Lease)
	return now.Sub(p.SentAt) >= limit || now.Round(0).Sub(p.SentAt.Round(0)) >= limit
}
