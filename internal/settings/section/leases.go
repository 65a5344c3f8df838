package section

import (
	"time"

	"hornbeamwood/internal/settings/tree"
)

// longestKept is how long a lease length that an edit made shorter still
// counts for new leaders. It is far above the longest lease, because it is
// counted by the wall clocks of leaders, which may differ.
const longestKept = time.Hour

// leases is what earlier revisions let entries do that may not have heard of newer ones.
type leases struct {
	// Longest is the longest settings lease of the revisions that still count.
	Longest time.Duration `cbor:"longest,omitempty"`
	// Since is when the lease was last made shorter, in nanoseconds since 1970.
	Since int64 `cbor:"since,omitempty"`
	// FreeBefore is the revision from which on entries do not serve without a quorum; above the newest one while they do.
	FreeBefore uint64 `cbor:"free-before,omitempty"`
}

// after returns l after an edit that made revision out of before and next.
//
// An operator makes the lease shorter while an entry is cut off, and the
// leader is lost. A new leader that counted the shorter lease would declare an
// edit in force while that entry still serves for the longer one.
func (l leases) after(at time.Time, revision uint64, before, next tree.Tree) leases {
	was, is := before.SettingsLease(), next.SettingsLease()
	if at.Sub(time.Unix(0, l.Since)) > longestKept {
		l.Longest = 0
	}
	if is < was {
		l.Longest = max(l.Longest, was)
		l.Since = at.UnixNano()
	}
	switch {
	case next.ServeWithoutQuorum():
		l.FreeBefore = revision + 1
	case before.ServeWithoutQuorum():
		l.FreeBefore = revision
	}
	return l
}
