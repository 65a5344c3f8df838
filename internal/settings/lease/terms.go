package lease

import "time"

// MarginShare is the divisor of the clock margin: one part in MarginShare of each lease, 1 %.
const MarginShare = 100

// ReportsPerLease is how often an entry reports during one lease, so that a lost answer costs no lease.
const ReportsPerLease = 4

// Terms are what the settings at one revision say of leases.
type Terms struct {
	// Revision is the newest accepted revision.
	Revision uint64
	// Lease is the settings lease at that revision.
	Lease time.Duration
	// Longest is the longest settings lease of any revision that an entry may still serve under.
	Longest time.Duration
	// FreeBefore is the revision from which on settings let no entry serve without a lease; 0 when they never did, Revision+1 when they do.
	FreeBefore uint64
}

// shortened returns how long an entry with a slow clock may count d.
func shortened(d time.Duration) time.Duration {
	return d - d/MarginShare
}

// lengthened returns how long a leader with a fast clock must count d.
func lengthened(d time.Duration) time.Duration {
	return d + d/MarginShare
}
