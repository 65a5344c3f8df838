package lease

import (
	"slices"
	"sync"
	"time"
)

// Holders is the control leader's account of the leases that it has confirmed.
type Holders interface {
	// Lead begins a leadership at now; nothing is known of the leases that earlier leaders confirmed.
	Lead(now time.Time, t Terms)
	// Report takes the revision that an entry has applied and returns whether its lease is confirmed; it is called after a quorum has confirmed the leader since the report arrived.
	Report(now time.Time, h Holder, applied uint64, t Terms) bool
	// Release forgets an entry that takes no new work any more.
	Release(h Holder)
	// InForce returns whether no entry can take new work under an older revision.
	InForce(now time.Time, revision uint64, t Terms) Force
	// Applied returns the revision that each live holder has applied.
	Applied(now time.Time) map[Holder]uint64
}

type holders struct {
	mu       sync.Mutex
	entries  []string
	grants   map[Holder]grant
	reported map[string]uint64
	newest   uint64
	settled  time.Time
}

// NewHolders returns Holders of a replica that has not led yet; entries are
// the names of all entries, which matter where settings let them serve without a quorum.
func NewHolders(entries []string) Holders {
	return &holders{
		entries:  slices.Sorted(slices.Values(entries)),
		grants:   map[Holder]grant{},
		reported: map[string]uint64{},
	}
}

// Lead implements Holders.
//
// A new leader knows of no lease that an earlier one confirmed. It would
// declare an edit in force while an entry that it has not heard of still
// serves under the older settings, so it first waits the longest lease out.
func (h *holders) Lead(now time.Time, t Terms) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grants = map[Holder]grant{}
	h.reported = map[string]uint64{}
	h.newest = t.Revision
	h.settled = now.Add(lengthened(t.Longest))
}

// Report implements Holders.
//
// A report that raced an edit could be confirmed just after the edit was
// declared in force; the entry would then serve on under the older settings.
// The newest revision that was ever asked for here is therefore kept, and an
// older one is never confirmed again.
func (h *holders) Report(now time.Time, holder Holder, applied uint64, t Terms) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.newest = max(h.newest, t.Revision)
	h.reported[holder.Name] = max(h.reported[holder.Name], applied)
	g := h.grants[holder]
	g.applied = max(g.applied, applied)
	confirmed := applied == t.Revision && applied == h.newest
	if confirmed {
		g.expires = later(g.expires, now.Add(lengthened(t.Lease)))
	}
	h.grants[holder] = g
	for k, g := range h.grants {
		if k != holder && !g.live(now, t.FreeBefore) {
			delete(h.grants, k)
		}
	}
	return confirmed
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Release implements Holders.
func (h *holders) Release(holder Holder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.grants, holder)
}

// InForce implements Holders.
func (h *holders) InForce(now time.Time, revision uint64, t Terms) Force {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.newest = max(h.newest, t.Revision)
	if revision > t.Revision {
		return Force{}
	}
	f := Force{After: max(0, h.settled.Sub(now))}
	for k, g := range h.grants {
		if g.applied < revision && g.live(now, t.FreeBefore) {
			f.Waiting = append(f.Waiting, k.Name)
			f.After = max(f.After, g.expires.Sub(now))
		}
	}
	free := h.free(revision, t.FreeBefore)
	if len(free) > 0 {
		f.Waiting = append(f.Waiting, free...)
		f.After = 0
	}
	slices.Sort(f.Waiting)
	f.Waiting = slices.Compact(f.Waiting)
	f.InForce = len(f.Waiting) == 0 && !now.Before(h.settled)
	return f
}

// free returns the entries that may serve on without a lease under a revision
// older than the given one. Where settings let an entry do so, waiting a lease
// out proves nothing; only its own report that it has applied either that
// revision or one that forbids it does.
func (h *holders) free(revision, freeBefore uint64) []string {
	var names []string
	for _, n := range h.entries {
		if h.reported[n] < min(revision, freeBefore) {
			names = append(names, n)
		}
	}
	return names
}

// Applied implements Holders.
func (h *holders) Applied(now time.Time) map[Holder]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	live := map[Holder]uint64{}
	for k, g := range h.grants {
		if g.live(now, 0) {
			live[k] = g.applied
		}
	}
	return live
}
