package lease

import (
	"slices"
	"sync"
	"time"
)

// Holders is the control leader's account of the leases that entries may hold.
type Holders interface {
	// Renew notes a renewal at a replica in the given term; it is called before a quorum confirms the leader for the answer.
	Renew(now time.Time, term uint64, r Renewal, t Terms)
	// InForce returns whether no entry can take new work under a revision older than the given one; it is called after a quorum has confirmed the leader of the term.
	InForce(now time.Time, term, revision uint64, t Terms) Force
	// Applied returns the revision that each live holder has applied.
	Applied(now time.Time) map[Holder]uint64
}

type holders struct {
	mu       sync.Mutex
	entries  []string
	grants   map[Holder]grant
	reported map[string]standing
	term     uint64
	entered  time.Time
	longest  time.Duration
}

// NewHolders returns Holders of a replica that has not led yet; entries are
// the names of all entries, which matter where settings let them serve without a quorum.
func NewHolders(entries []string) Holders {
	return &holders{
		entries:  slices.Sorted(slices.Values(entries)),
		grants:   map[Holder]grant{},
		reported: map[string]standing{},
	}
}

// enter begins a term when it is newer than the one before.
//
// A new leader knows of no lease that an earlier one confirmed. It would
// declare an edit in force while an entry that it has not heard of still
// serves under the older settings, so it first waits the longest lease out. It
// may learn of a longer one only when it has applied all that was accepted.
func (h *holders) enter(now time.Time, term uint64, t Terms) {
	if term <= h.term {
		h.longest = max(h.longest, t.Longest)
		return
	}
	h.term = term
	h.longest = t.Longest
	h.entered = now
	h.grants = map[Holder]grant{}
	h.reported = map[string]standing{}
}

// settled returns when all leases that earlier leaders confirmed have run out.
func (h *holders) settled() time.Time {
	return h.entered.Add(lengthened(h.longest))
}

// Renew implements Holders.
//
// It notes the lease before the quorum confirms the leader, and whether or not
// the revision is the newest. Noted afterwards, an edit could be declared in
// force in between, and the entry would serve on under the older settings.
func (h *holders) Renew(now time.Time, term uint64, r Renewal, t Terms) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enter(now, term, t)
	h.reported[r.Holder.Name] = h.reported[r.Holder.Name].with(r)
	for k, g := range h.grants {
		if !g.live(now, t.FreeBefore) {
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
func (h *holders) InForce(now time.Time, term, revision uint64, t Terms) Force {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enter(now, term, t)
	if term < h.term || revision > t.Revision {
		return Force{}
	}
	f := Force{After: max(0, h.settled().Sub(now))}
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
	f.InForce = len(f.Waiting) == 0 && !now.Before(h.settled())
	return f
}

// free returns the entries that may serve on without a lease under a revision
// older than the given one. Where settings let an entry do so, waiting a lease
// out proves nothing; only its own report that it has applied either that
// revision or one that forbids it does.
func (h *holders) free(revision, freeBefore uint64) []string {
	var names []string
	for _, n := range h.entries {
		r := h.reported[n]
		if !r.released && r.applied < min(revision, freeBefore) {
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
