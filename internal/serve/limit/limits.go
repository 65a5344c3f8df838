package limit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"hornbeamwood/internal/base/event"
)

const (
	// shards is the number of locks.
	shards = 16
	// unknownEntries stands for the number of entries until a replica has told it.
	unknownEntries = 12
	// forgetAfter is how long a limit is remembered of a server that isn't asked any more.
	forgetAfter = 2 * time.Minute
)

// Limits holds the limits that servers name, and this entry's share of each.
type Limits interface {
	// Observe takes the answer to a request that was sent at sent: the requests a second
	// that the server takes from all entries, nil when it names no limit.
	Observe(server string, perSecond *float64, sent, now time.Time)
	// Wait returns how long it is until a request may be sent to the server.
	Wait(server string, now time.Time) time.Duration
	// Take spends a request to the server that may be sent after the returned time,
	// at most that long from now, and returns false when there is none.
	Take(server string, most time.Duration, now time.Time) (time.Duration, bool)
	// Return gives back what was taken for a request that isn't sent.
	Return(server string, now time.Time)
	// SetEntries tells how many entries share the limits.
	SetEntries(n int)
	// Len returns how many servers name a limit.
	Len() int
}

// Config is what Limits are made from.
type Config struct {
	// Random draws from 0 to 1; it keeps entries apart that hear of a limit at the same moment.
	Random func() float64
	// OnCapacity, if any, is called when a server's limit leaves room for another request.
	OnCapacity func()
	// Logger takes the events.
	Logger log.Interface
}

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

type limits struct {
	Config
	shards  [shards]shard
	entries atomic.Int64
	// named is how many servers name a limit; while none does, no lock is taken.
	named atomic.Int64
}

// New returns Limits of servers that name none yet.
func New(c Config) Limits {
	l := &limits{Config: c}
	l.entries.Store(unknownEntries)
	for i := range l.shards {
		l.shards[i].buckets = map[string]*bucket{}
	}
	return l
}

// SetEntries implements Limits.
func (l *limits) SetEntries(n int) {
	if n > 0 {
		l.entries.Store(int64(n))
	}
}

// sharers returns how many entries share the limits.
func (l *limits) sharers() int {
	return int(l.entries.Load())
}

func (l *limits) shard(server string) *shard {
	return &l.shards[xxhash.Sum64String(server)%shards]
}

// Observe implements Limits.
//
// An answer without a limit ends one only if its request was sent after the limit
// was named last: answers on different connections overtake each other.
func (l *limits) Observe(server string, perSecond *float64, sent, now time.Time) {
	if perSecond == nil && l.named.Load() == 0 {
		return
	}
	entries := l.sharers()
	s := l.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[server]
	switch {
	case perSecond == nil && ok && sent.After(b.named):
		l.forget(s, server)
		l.tell(server, 0, entries)
	case perSecond != nil && !ok:
		b = newBucket(*perSecond, l.Random(), now)
		s.buckets[server] = b
		l.named.Add(1)
		l.announce(server, b, b.wait(entries))
		l.tell(server, *perSecond, entries)
	case perSecond != nil:
		if b.rename(*perSecond, entries, now) {
			l.tell(server, *perSecond, entries)
		}
	}
}

// forget ends a limit; the caller holds the lock.
func (l *limits) forget(s *shard, server string) {
	delete(s.buckets, server)
	l.named.Add(-1)
}

func (l *limits) tell(server string, perSecond float64, entries int) {
	event.LimitNamed.Write(l.Logger, log.Fields{"server": server, "per-second": perSecond, "entries": entries})
}

// announce calls Room after the given time, and from then on each time that the
// bucket gains a request, for as long as the server names a limit. It forgets a server
// that hasn't answered for long.
func (l *limits) announce(server string, b *bucket, after time.Duration) {
	if l.OnCapacity == nil {
		return
	}
	time.AfterFunc(after, func() {
		entries := l.sharers()
		s := l.shard(server)
		s.mu.Lock()
		current := s.buckets[server] == b
		if current && time.Since(b.named) > forgetAfter {
			l.forget(s, server)
			current = false
		}
		next := b.interval(entries)
		s.mu.Unlock()
		if current {
			l.OnCapacity()
			l.announce(server, b, next)
		}
	})
}

// with calls use with the server's bucket, filled, if the server names a limit.
func (l *limits) with(server string, now time.Time, use func(b *bucket, entries int)) {
	if l.named.Load() == 0 {
		return
	}
	entries := l.sharers()
	s := l.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.buckets[server]; ok {
		b.fill(entries, now)
		use(b, entries)
	}
}

// Wait implements Limits.
func (l *limits) Wait(server string, now time.Time) time.Duration {
	wait := time.Duration(0)
	l.with(server, now, func(b *bucket, entries int) { wait = b.wait(entries) })
	return wait
}

// Take implements Limits.
func (l *limits) Take(server string, most time.Duration, now time.Time) (time.Duration, bool) {
	wait := time.Duration(0)
	l.with(server, now, func(b *bucket, entries int) {
		if wait = b.wait(entries); wait <= most {
			b.level--
		}
	})
	if wait > most {
		return 0, false
	}
	return wait, true
}

// Return implements Limits.
func (l *limits) Return(server string, now time.Time) {
	l.with(server, now, func(b *bucket, _ int) { b.level++ })
}

// Len implements Limits.
func (l *limits) Len() int {
	return int(l.named.Load())
}
