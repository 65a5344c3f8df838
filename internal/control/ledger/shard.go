package ledger

import (
	"sync"
	"time"
)

// shard holds the records of some workspaces.
type shard struct {
	mu      sync.RWMutex
	records map[Scope]*record
	queue   expiry
	counts  map[string]*Counts
	live    map[owner]map[*record]struct{}
	names   map[string]string
	owners  map[owner]*owner
	fences  map[string]uint64
}

func newShard() *shard {
	return &shard{
		records: map[Scope]*record{},
		counts:  map[string]*Counts{},
		live:    map[owner]map[*record]struct{}{},
		names:   map[string]string{},
		owners:  map[owner]*owner{},
		fences:  map[string]uint64{},
	}
}

// name returns one shared copy of s: workspace and service names stand in
// every record, and a decoder allocates them anew for each command.
func (s *shard) name(n string) string {
	if shared, ok := s.names[n]; ok {
		return shared
	}
	s.names[n] = n
	return n
}

func (s *shard) ownerOf(o owner) *owner {
	if shared, ok := s.owners[o]; ok {
		return shared
	}
	shared := &owner{entry: s.name(o.entry), incarnation: o.incarnation}
	s.owners[o] = shared
	return shared
}

func (s *shard) claim(at time.Time, c *Claim) Result {
	if c.Incarnation <= s.fences[c.Entry] {
		return Result{Kind: Stale}
	}
	r, ok := s.records[c.Scope]
	if !ok {
		s.add(at, c)
		return Result{Kind: Granted, Attempt: c.Attempt, Entry: c.Entry}
	}
	if r.phase != released {
		return r.result(c.Digest, c.Attempt)
	}
	// A claim whose commit timed out can arrive after its release. Granting it
	// would leave a claim that nobody dispatches, and each resend would be
	// told to wait.
	if r.attempt == c.Attempt {
		return Result{Kind: Stale}
	}
	s.remove(r)
	s.add(at, c)
	return Result{Kind: Granted, Attempt: c.Attempt, Entry: c.Entry}
}

func (s *shard) add(at time.Time, c *Claim) {
	keep := max(c.Keep, minKeep)
	r := &record{
		scope:    Scope{Workspace: s.name(c.Scope.Workspace), Service: s.name(c.Scope.Service), Key: c.Scope.Key},
		owner:    s.ownerOf(owner{entry: c.Entry, incarnation: c.Incarnation}),
		attempt:  c.Attempt,
		since:    at.UnixNano(),
		place:    noPlace,
		keepSecs: uint32(keep / time.Second),
		digest:   c.Digest,
	}
	s.insert(r)
	s.queue.set(r, at.Add(keep).UnixNano())
}

func (s *shard) outcome(at time.Time, o *Outcome) Result {
	if !o.Answer.fits() {
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
	s.move(r, settled)
	s.queue.set(r, at.Add(r.keep()).UnixNano())
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
	s.move(r, released)
	s.queue.set(r, at.Add(releasedKeep).UnixNano())
	return Result{Kind: Done}
}

// tombstone remembers a release whose claim hasn't arrived yet.
func (s *shard) tombstone(at time.Time, c *Release) {
	r := &record{
		scope:   Scope{Workspace: s.name(c.Scope.Workspace), Service: s.name(c.Scope.Service), Key: c.Scope.Key},
		owner:   s.ownerOf(owner{}),
		attempt: c.Attempt,
		since:   at.UnixNano(),
		place:   noPlace,
		phase:   released,
	}
	s.insert(r)
	s.queue.set(r, at.Add(releasedKeep).UnixNano())
}

func (s *shard) markUnknown(c *MarkUnknown) Result {
	r, ok := s.records[c.Scope]
	if !ok || r.attempt != c.Attempt {
		return Result{Kind: Stale}
	}
	if r.phase == live {
		s.settleUnknown(r)
	}
	return r.result(Digest{}, c.Attempt)
}

// abandon returns how many claims it made unknown; those whose time had come
// aren't counted, because replicas may have handled them already.
func (s *shard) abandon(at int64, a *Abandon) int {
	if a.Incarnation <= s.fences[a.Entry] {
		return 0
	}
	s.fences[s.name(a.Entry)] = a.Incarnation
	count := 0
	for o, records := range s.live {
		if o.entry != a.Entry || o.incarnation > a.Incarnation {
			continue
		}
		for r := range records {
			if r.expires > at {
				count++
			}
			s.settleUnknown(r)
		}
	}
	return count
}

// settleUnknown makes a claim unknown; it is kept until its outcome or an operator resolves it.
func (s *shard) settleUnknown(r *record) {
	s.move(r, unknown)
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
		s.move(r, released)
		s.queue.set(r, at.Add(releasedKeep).UnixNano())
		return Result{Kind: Done, Attempt: r.attempt}
	}
	r.setAnswer(Answer{Dropped: true})
	s.move(r, settled)
	s.queue.set(r, at.Add(r.keep()).UnixNano())
	return Result{Kind: Done, Attempt: r.attempt}
}

// expire handles at most limit records whose time has come and returns how many there were.
func (s *shard) expire(at int64, limit int) int {
	for n := range limit {
		if len(s.queue) == 0 || s.queue[0].expires > at {
			return n
		}
		s.due(s.queue[0])
	}
	return limit
}

// refresh handles the given record when its time has come, so that what a
// command sees doesn't depend on how far the incremental removal has got.
func (s *shard) refresh(scope Scope, at int64) {
	r, ok := s.records[scope]
	if ok && r.place != noPlace && r.expires <= at {
		s.due(r)
	}
}

// due removes what expired; a claim that was never answered becomes unknown,
// because forgetting it would let a resend run a second time.
func (s *shard) due(r *record) {
	if r.phase == live {
		s.settleUnknown(r)
		return
	}
	s.remove(r)
}
