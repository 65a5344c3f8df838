package lease

import "time"

// MarginShare is the divisor of the clock margin: one part in MarginShare of each lease, 1 %.
const MarginShare = 100

// ReportsPerLease is the number of reports that an entry sends during one lease, so that a lost answer does not lose the lease.
const ReportsPerLease = 4

// Terms are the lease parameters of the settings at one revision.
type Terms struct {
	// Revision is the newest accepted revision.
	Revision uint64
	// Lease is the settings lease at that revision.
	Lease time.Duration
	// Longest is the longest settings lease of all revisions under which an entry may still serve.
	Longest time.Duration
	// LeaseRequiredFrom is the first revision at which the settings no longer let entries serve without a lease. It is 0 if they never did and Revision+1 while they do.
	LeaseRequiredFrom uint64
}

// shortened returns d less the clock margin, for an entry, whose clock may be slow.
func shortened(d time.Duration) time.Duration {
	return d - d/MarginShare
}

// lengthened returns d plus the clock margin, for a leader, whose clock may be fast.
func lengthened(d time.Duration) time.Duration {
	return d + d/MarginShare
}
