package lease

import (
	"slices"
	"sync"
	"time"
)

// Holders is the control leader's record of the leases that entries may hold.
type Holders interface {
	// Renew records a renewal in the given term. It must be called before a quorum confirms the leader for the answer.
	Renew(now time.Time, term uint64, r Renewal, t Terms)
	// InForce returns whether no entry can accept new work under a revision older than the given one. It must be called after a quorum has confirmed the leader of the term.
	InForce(now time.Time, term, revision uint64, t Terms) InForceStatus
	// Applied returns the revision that each holder of an unexpired lease has applied.
	Applied(now time.Time) map[Holder]uint64
}

type holders struct {
	mu           sync.Mutex
	entries      []string
	grants       map[Holder]grant
	lastReports  map[string]lastReport
	term         uint64
	termStart    time.Time
	longestLease time.Duration
}

// NewHolders returns the Holders of a replica that has not been the leader yet.
// entries are the names of all entries; they are used when the settings let
// entries serve without a quorum.
func NewHolders(entries []string) Holders {
	return &holders{
		entries:     slices.Sorted(slices.Values(entries)),
		grants:      map[Holder]grant{},
		lastReports: map[string]lastReport{},
	}
}

// beginTerm starts the given term if it is newer than the current one.
//
// A new leader has no record of the leases that earlier leaders confirmed, and
// would declare an edit in force while an entry that has not reported to it still
// serves under the older settings. It therefore waits until the longest lease has
// expired. The longest lease may increase until the leader has applied all
// accepted edits.
func (h *holders) beginTerm(now time.Time, term uint64, t Terms) {
	if term <= h.term {
		h.longestLease = max(h.longestLease, t.Longest)
		return
	}
	h.term = term
	h.longestLease = t.Longest
	h.termStart = now
	h.grants = map[Holder]grant{}
	h.lastReports = map[string]lastReport{}
}

// earlierLeasesEnd returns the time at which all leases confirmed by earlier leaders have expired.
func (h *holders) earlierLeasesEnd() time.Time {
	return h.termStart.Add(lengthened(h.longestLease))
}

// Renew implements Holders.
//
// The lease is recorded before the quorum confirms the leader, and even if the
// revision is not the newest. If it were recorded afterwards, an edit could be
// declared in force in between while the entry serves under the older settings.
func (h *holders) Renew(now time.Time, term uint64, r Renewal, t Terms) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.beginTerm(now, term, t)
	h.lastReports[r.Holder.Name] = h.lastReports[r.Holder.Name].with(r)
	for k, g := range h.grants {
		if !g.active(now, t.LeaseRequiredFrom) {
			delete(h.grants, k)
		}
	}
	if r.Released {
		delete(h.grants, r.Holder)
		return
	}
	g := h.grants[r.Holder]
	g.applied = max(g.applied, r.Applied)
	g.expires = later(g.expires, now.Add(lengthened(r.Lease)))
	h.grants[r.Holder] = g
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// InForce implements Holders.
func (h *holders) InForce(now time.Time, term, revision uint64, t Terms) InForceStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.beginTerm(now, term, t)
	if term < h.term || revision > t.Revision {
		return InForceStatus{}
	}
	s := InForceStatus{MaxWait: max(0, h.earlierLeasesEnd().Sub(now))}
	for k, g := range h.grants {
		if g.applied < revision && g.active(now, t.LeaseRequiredFrom) {
			s.Waiting = append(s.Waiting, k.Name)
			s.MaxWait = max(s.MaxWait, g.expires.Sub(now))
		}
	}
	leaseless := h.leaselessEntries(revision, t.LeaseRequiredFrom)
	if len(leaseless) > 0 {
		s.Waiting = append(s.Waiting, leaseless...)
		s.MaxWait = 0
	}
	slices.Sort(s.Waiting)
	s.Waiting = slices.Compact(s.Waiting)
	s.InForce = len(s.Waiting) == 0 && !now.Before(h.earlierLeasesEnd())
	return s
}

// leaselessEntries returns the entries that may serve without a lease under a
// revision older than the given one. Where the settings let entries do so, an
// expired lease proves nothing; the entry itself must have reported that it has
// applied the given revision or one that requires a lease again.
func (h *holders) leaselessEntries(revision, leaseRequiredFrom uint64) []string {
	var names []string
	for _, n := range h.entries {
		r := h.lastReports[n]
		if !r.released && r.applied < min(revision, leaseRequiredFrom) {
			names = append(names, n)
		}
	}
	return names
}

// Applied implements Holders.
func (h *holders) Applied(now time.Time) map[Holder]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	revisions := map[Holder]uint64{}
	for k, g := range h.grants {
		if g.active(now, 0) {
			revisions[k] = g.applied
		}
	}
	return revisions
}
