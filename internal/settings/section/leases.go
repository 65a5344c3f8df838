package section

import (
	"time"

	"hornbeamwood/internal/settings/tree"
)

// longestLeaseRetention is how long new leaders consider the previous lease
// length after an edit has made the lease shorter. It is far above the longest
// lease because it is measured by the wall clocks of leaders, which may differ.
const longestLeaseRetention = time.Hour

// leases describes the leases of earlier revisions, which entries that have not received the newer ones may still use.
type leases struct {
	// Longest is the longest previous lease length that new leaders must consider.
	Longest time.Duration `cbor:"longest,omitempty"`
	// Since is the time at which the lease was last made shorter, in nanoseconds since 1970.
	Since int64 `cbor:"since,omitempty"`
	// LeaseRequiredFrom is the first revision at which entries no longer may serve without a quorum; it is above the newest revision while they may.
	LeaseRequiredFrom uint64 `cbor:"free-before,omitempty"`
}

// after returns l after an edit that changed the tree from before to next, at the given revision.
//
// The previous lease length is kept for a new leader. If an operator makes the
// lease shorter while an entry is partitioned, and the leader fails, a new leader
// that used the shorter lease would declare an edit in force while that entry
// still serves under the longer one.
func (l leases) after(at time.Time, revision uint64, before, next tree.Tree) leases {
	oldLease, newLease := before.SettingsLease(), next.SettingsLease()
	if at.Sub(time.Unix(0, l.Since)) > longestLeaseRetention {
		l.Longest = 0
	}
	if newLease < oldLease {
		l.Longest = max(l.Longest, oldLease)
		l.Since = at.UnixNano()
	}
	switch {
	case next.ServeWithoutQuorum():
		l.LeaseRequiredFrom = revision + 1
	case before.ServeWithoutQuorum():
		l.LeaseRequiredFrom = revision
	}
	return l
}
