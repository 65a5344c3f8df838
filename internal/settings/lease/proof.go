package lease

import "time"

// Proof is a report of an entry that the leader has confirmed.
type Proof struct {
	// SentAt is the time by the entry's clock before it sent the report.
	SentAt time.Time
	// Applied is the revision that the entry had applied when it sent the report.
	Applied uint64
	// Confirmed is the newest revision according to the leader's answer.
	Confirmed uint64
	// Lease is the settings lease at revision Applied.
	Lease time.Duration
}

// Expired reports whether the lease given by p has expired at now.
//
// The monotonic clock of a suspended VM may have stopped meanwhile, and its wall
// clock is usually corrected first on resume. The lease has expired as soon as it
// has by either clock; a wall clock that was set back does not extend it.
func (p Proof) Expired(now time.Time) bool {
	limit := shortened(p.Lease)
	return now.Sub(p.SentAt) >= limit || now.Round(0).Sub(p.SentAt.Round(0)) >= limit
}
