package ledger

import (
	"sync"
	"time"
)

// shard holds the records of some workspaces.
type shard struct {
	mu          sync.RWMutex
	records     map[Scope]*record
	queue       expiryQueue
	counts      map[string]*Counts
	liveByOwner map[owner]map[*record]struct{}
	interned    map[string]string
	owners      map[owner]*owner
	fences      map[string]uint64
}

func newShard() *shard {
	return &shard{
		records:     map[Scope]*record{},
		counts:      map[string]*Counts{},
		liveByOwner: map[owner]map[*record]struct{}{},
		interned:    map[string]string{},
		owners:      map[owner]*owner{},
		fences:      map[string]uint64{},
	}
}

// intern returns a shared copy of n. Every record contains a workspace and a
// service name, and the decoder allocates both again for each command.
func (s *shard) intern(n string) string {
	if shared, ok := s.interned[n]; ok {
		return shared
	}
	s.interned[n] = n
	return n
}

// internOwner returns a shared copy of o.
func (s *shard) internOwner(o owner) *owner {
	if shared, ok := s.owners[o]; ok {
		return shared
	}
	shared := &owner{entry: s.intern(o.entry), incarnation: o.incarnation}
	s.owners[o] = shared
	return shared
}

func (s *shard) claim(at time.Time, c *Claim) Result {
	if c.Incarnation <= s.fences[c.Entry] {
		return Result{Kind: Stale}
	}
	r, ok := s.records[c.Scope]
	if !ok {
		s.addClaim(at, c)
		return Result{Kind: Granted, Attempt: c.Attempt, Entry: c.Entry}
	}
	if r.phase != released {
		return r.result(c.Digest, c.Attempt)
	}
	// A claim whose commit timed out can arrive after its release. If it were
	// granted, no entry would dispatch it, and each resend would find it busy.
	if r.attempt == c.Attempt {
		return Result{Kind: Stale}
	}
	s.remove(r)
	s.addClaim(at, c)
	return Result{Kind: Granted, Attempt: c.Attempt, Entry: c.Entry}
}

func (s *shard) addClaim(at time.Time, c *Claim) {
	retention := max(c.Keep, minRetention)
	r := &record{
		scope:            Scope{Workspace: s.intern(c.Scope.Workspace), Service: s.intern(c.Scope.Service), Key: c.Scope.Key},
		owner:            s.internOwner(owner{entry: c.Entry, incarnation: c.Incarnation}),
		attempt:          c.Attempt,
		since:            at.UnixNano(),
		heapIndex:        notQueued,
		retentionSeconds: uint32(retention / time.Second),
		digest:           c.Digest,
	}
	s.insert(r)
	s.queue.set(r, at.Add(retention).UnixNano())
}

func (s *shard) outcome(at time.Time, o *Outcome) Result {
	if !o.Answer.withinLimits() {
		return Result{Kind: Invalid}
	}
	r, ok := s.records[o.Scope]
	if !ok || r.attempt != o.Attempt || r.digest != o.Digest || r.phase == released {
		return Result{Kind: Stale}
	}
	if r.phase == settled {
		return Result{Kind: Done, Attempt: r.attempt}
	}
	r.setAnswer(o.Answer)
	s.setPhase(r, settled)
	s.queue.set(r, at.Add(r.retention()).UnixNano())
	return Result{Kind: Done, Attempt: r.attempt}
}

func (s *shard) release(at time.Time, c *Release) Result {
	r, ok := s.records[c.Scope]
	if !ok {
		s.tombstone(at, c)
		return Result{Kind: Done}
	}
	if r.attempt != c.Attempt || r.phase == settled {
		return Result{Kind: Stale}
	}
	s.setPhase(r, released)
	s.queue.set(r, at.Add(releasedRetention).UnixNano())
	return Result{Kind: Done}
}

// tombstone records a release whose claim hasn't arrived yet.
func (s *shard) tombstone(at time.Time, c *Release) {
	r := &record{
		scope:     Scope{Workspace: s.intern(c.Scope.Workspace), Service: s.intern(c.Scope.Service), Key: c.Scope.Key},
		owner:     s.internOwner(owner{}),
		attempt:   c.Attempt,
		since:     at.UnixNano(),
		heapIndex: notQueued,
		phase:     released,
	}
	s.insert(r)
	s.queue.set(r, at.Add(releasedRetention).UnixNano())
}

func (s *shard) markUnknown(c *MarkUnknown) Result {
	r, ok := s.records[c.Scope]
	if !ok || r.attempt != c.Attempt {
		return Result{Kind: Stale}
	}
	if r.phase == live {
		s.makeUnknown(r)
	}
	return r.result(Digest{}, c.Attempt)
}

// abandon makes the live claims of the dead incarnations unknown and returns
// their number. Expired claims aren't counted, because some replicas may have
// processed them already.
func (s *shard) abandon(at int64, a *Abandon) int {
	if a.Incarnation <= s.fences[a.Entry] {
		return 0
	}
	s.fences[s.intern(a.Entry)] = a.Incarnation
	count := 0
	for o, records := range s.liveByOwner {
		if o.entry != a.Entry || o.incarnation > a.Incarnation {
			continue
		}
		for r := range records {
			if r.expires > at {
				count++
			}
			s.makeUnknown(r)
		}
	}
	return count
}

// makeUnknown makes a claim unknown. The record is kept until an outcome
// arrives or an operator resolves it.
func (s *shard) makeUnknown(r *record) {
	s.setPhase(r, unknown)
	s.queue.drop(r)
	r.expires = 0
}

func (s *shard) resolve(at time.Time, c *Resolve) Result {
	r, ok := s.records[c.Scope]
	if !ok {
		return Result{Kind: Absent}
	}
	if r.phase != unknown {
		return Result{Kind: Stale, Attempt: r.attempt}
	}
	if !c.Ran {
		s.setPhase(r, released)
		s.queue.set(r, at.Add(releasedRetention).UnixNano())
		return Result{Kind: Done, Attempt: r.attempt}
	}
	r.setAnswer(Answer{Dropped: true})
	s.setPhase(r, settled)
	s.queue.set(r, at.Add(r.retention()).UnixNano())
	return Result{Kind: Done, Attempt: r.attempt}
}

// expire processes at most limit expired records and returns how many it processed.
func (s *shard) expire(at int64, limit int) int {
	for n := range limit {
		if len(s.queue) == 0 || s.queue[0].expires > at {
			return n
		}
		s.expireRecord(s.queue[0])
	}
	return limit
}

// expireScope processes the record of scope if it has expired, so that a command's
// result doesn't depend on the progress of the incremental removal.
func (s *shard) expireScope(scope Scope, at int64) {
	r, ok := s.records[scope]
	if ok && r.heapIndex != notQueued && r.expires <= at {
		s.expireRecord(r)
	}
}

// expireRecord removes an expired record. A claim without an outcome becomes unknown
// instead, because removing it would let a resend run the call a second time.
func (s *shard) expireRecord(r *record) {
	if r.phase == live {
		s.makeUnknown(r)
		return
	}
	s.remove(r)
}
