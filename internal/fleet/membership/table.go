package membership

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamwood/internal/fleet/announcement"
)

// shardCount is a power of two.
const shardCount = 16

// Table holds the newest announcements of all backend servers of a cell.
type Table interface {
	// Announce merges an announcement that the server itself sent to this entry.
	Announce(now time.Time, a announcement.Announcement) MergeResult
	// Merge merges an announcement that was made at most age ago.
	Merge(now time.Time, a announcement.Announcement, age time.Duration) MergeResult
	// View returns the current records of all servers without taking a lock.
	View() View
	// Sweep removes servers whose last announcement is too old and returns their identities.
	Sweep(now time.Time) []string
}

type table struct {
	config    Config
	shards    [shardCount]*shard
	addresses addresses
	count     atomic.Int64
}

// New returns an empty Table.
func New(c Config) Table {
	t := &table{config: c.withDefaults(), addresses: addresses{users: map[string]claim{}}}
	for i := range t.shards {
		t.shards[i] = newShard()
	}
	return t
}

func (t *table) shard(identity string) *shard {
	return t.shards[xxhash.Sum64String(identity)%shardCount]
}

// Announce implements Table.
func (t *table) Announce(now time.Time, a announcement.Announcement) MergeResult {
	return t.merge(now, a, source{direct: true})
}

// Merge implements Table.
func (t *table) Merge(now time.Time, a announcement.Announcement, age time.Duration) MergeResult {
	return t.merge(now, a, source{age: age})
}

// View implements Table.
func (t *table) View() View {
	var v View
	for i, s := range t.shards {
		v.shards[i] = *s.view.Load()
	}
	return v
}

func (t *table) merge(now time.Time, a announcement.Announcement, src source) MergeResult {
	if err := t.config.Check(a); err != nil {
		return refuse(BadField, err.Error())
	}
	s := t.shard(a.Identity)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.servers[a.Identity]
	if e == nil {
		return t.add(s, now, a, src)
	}
	known := &e.server.announcement
	if a.Incarnation < known.Incarnation {
		return MergeResult{Outcome: Stale, Cause: OlderIncarnation}
	}
	if a.Incarnation > known.Incarnation {
		return t.restart(s, e, now, a, src)
	}
	if a.Address != known.Address {
		return refuse(IdentityConflict, fmt.Sprintf("%s is announced from %s and from %s in one incarnation", a.Identity, known.Address, a.Address))
	}
	return s.mergeSameIncarnation(e, a, e.madeAt(now, a, src), src.direct)
}

// add adds a new server.
func (t *table) add(s *shard, now time.Time, a announcement.Announcement, src source) MergeResult {
	if t.count.Load() >= int64(t.config.Servers) {
		return refuse(TooManyServers, fmt.Sprintf("%d servers are known, which is the limit", t.config.Servers))
	}
	if user, ok := t.addresses.claim(now, a.Address, a.Identity, t.usedBy(now, a.Address)); !ok {
		return refuse(AddressConflict, fmt.Sprintf("%s is in use by %s", a.Address, user))
	}
	t.count.Add(1)
	e := &serverState{}
	e.server = updatedServer(nil, a, e.madeAt(now, a, src), src.direct)
	s.servers[a.Identity] = e
	s.publish()
	return MergeResult{
		Outcome: Accepted,
		Cause:   NewServer,
		Leaving: a.State == announcement.Leaving,
		Changed: true,
	}
}

// restart replaces the record of an older incarnation, whatever its state.
func (t *table) restart(s *shard, e *serverState, now time.Time, a announcement.Announcement, src source) MergeResult {
	old := e.server.announcement
	if user, ok := t.addresses.claim(now, a.Address, a.Identity, t.usedBy(now, a.Address)); !ok {
		return refuse(AddressConflict, fmt.Sprintf("%s is in use by %s", a.Address, user))
	}
	if old.Address != a.Address {
		t.addresses.release(old.Address, a.Identity)
	}
	e.delay = delayEstimator{}
	e.server = updatedServer(e.server, a, e.madeAt(now, a, src), src.direct)
	s.publish()
	return MergeResult{
		Outcome: Accepted,
		Cause:   NewIncarnation,
		Leaving: a.State == announcement.Leaving,
		Changed: true,
	}
}

// mergeSameIncarnation merges an announcement of the current incarnation.
func (s *shard) mergeSameIncarnation(e *serverState, a announcement.Announcement, madeAt time.Time, direct bool) MergeResult {
	old := e.server
	wasReady := old.announcement.State == announcement.Ready
	leaves := wasReady && a.State == announcement.Leaving
	switch {
	case a.Sequence > old.announcement.Sequence:
		e.server = updatedServer(old, a, madeAt, direct)
		s.publish()
		return MergeResult{Outcome: Accepted, Cause: NewerSequence, Leaving: leaves, Changed: e.server.digest != old.digest}
	case leaves:
		n := *old
		n.announcement.State = announcement.Leaving
		n.direct = direct
		e.server = &n
		s.publish()
		return MergeResult{Outcome: Accepted, Cause: LateLeaving, Leaving: true}
	case a.Sequence < old.announcement.Sequence:
		return MergeResult{Outcome: Stale, Cause: OlderSequence}
	}
	if madeAt.After(old.madeAt) {
		n := *old
		n.madeAt = madeAt
		e.server = &n
		s.publish()
	}
	return MergeResult{Outcome: Duplicate, Cause: SameSequence}
}

// usedBy returns a function that reports whether an identity still uses the address. It reads the lock-free view because the other identity's shard may be locked.
func (t *table) usedBy(now time.Time, address string) func(identity string) bool {
	return func(identity string) bool {
		s, ok := t.View().Server(identity)
		if !ok || s.announcement.Address != address {
			return false
		}
		return s.announcement.State == announcement.Ready && s.Age(now) < MaxAge
	}
}

// Sweep implements Table.
func (t *table) Sweep(now time.Time) []string {
	var removed []string
	for _, s := range t.shards {
		removed = append(removed, t.sweep(s, now)...)
	}
	return removed
}

func (t *table) sweep(s *shard, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var removed []string
	for i, e := range s.servers {
		keep := t.config.Forget
		if e.server.announcement.State == announcement.Leaving {
			keep = t.config.ForgetLeaver
		}
		if e.server.Age(now) < keep {
			continue
		}
		delete(s.servers, i)
		t.addresses.release(e.server.announcement.Address, i)
		t.count.Add(-1)
		removed = append(removed, i)
	}
	if len(removed) > 0 {
		s.publish()
	}
	return removed
}
