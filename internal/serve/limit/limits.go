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
	// assumedEntries is the assumed number of entries until a replica reports it.
	assumedEntries = 12
	// forgetAfter is how long the limit of a server that gets no more requests is kept.
	forgetAfter = 2 * time.Minute
)

// Limits holds the limits that servers announce, and this entry's share of each.
type Limits interface {
	// Observe processes the response to a request that was sent at sent. perSecond is the number
	// of requests per second that the server accepts from all entries, nil if it announces no
	// limit.
	Observe(server string, perSecond *float64, sent, now time.Time)
	// Wait returns how long it is until a request may be sent to the server.
	Wait(server string, now time.Time) time.Duration
	// Reserve reserves a request to the server that may be sent after the returned time. It returns
	// false if that is more than maxWait from now.
	Reserve(server string, maxWait time.Duration, now time.Time) (time.Duration, bool)
	// Release cancels the reservation of a request that is not sent.
	Release(server string, now time.Time)
	// SetEntries sets how many entries share the limits.
	SetEntries(n int)
	// Len returns how many servers announce a limit.
	Len() int
}

// Config is the configuration of Limits.
type Config struct {
	// Random returns a number between 0 and 1. It desynchronizes entries that learn of a limit at
	// the same moment.
	Random func() float64
	// OnCapacity, if set, is called when a server's limit allows another request.
	OnCapacity func()
	// Logger receives the log events.
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
	// limited is how many servers announce a limit; while none does, no lock is taken.
	limited atomic.Int64
}

// New returns Limits without any announced limit.
func New(c Config) Limits {
	l := &limits{Config: c}
	l.entries.Store(assumedEntries)
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

// entryCount returns how many entries share the limits.
func (l *limits) entryCount() int {
	return int(l.entries.Load())
}

func (l *limits) shard(server string) *shard {
	return &l.shards[xxhash.Sum64String(server)%shards]
}

// Observe implements Limits.
//
// A response without a limit ends one only if its request was sent after the limit was last
// announced, because responses on different connections can overtake each other.
func (l *limits) Observe(server string, perSecond *float64, sent, now time.Time) {
	if perSecond == nil && l.limited.Load() == 0 {
		return
	}
	entries := l.entryCount()
	s := l.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[server]
	switch {
	case perSecond == nil && ok && sent.After(b.observed):
		l.forget(s, server)
		l.logLimit(server, 0, entries)
	case perSecond != nil && !ok:
		b = newBucket(*perSecond, l.Random(), now)
		s.buckets[server] = b
		l.limited.Add(1)
		l.scheduleCapacity(server, b, b.wait(entries))
		l.logLimit(server, *perSecond, entries)
	case perSecond != nil:
		if b.update(*perSecond, entries, now) {
			l.logLimit(server, *perSecond, entries)
		}
	}
}

// forget removes a limit; the caller holds the lock.
func (l *limits) forget(s *shard, server string) {
	delete(s.buckets, server)
	l.limited.Add(-1)
}

func (l *limits) logLimit(server string, perSecond float64, entries int) {
	event.LimitNamed.Write(l.Logger, log.Fields{"server": server, "per-second": perSecond, "entries": entries})
}

// scheduleCapacity calls OnCapacity after the given time, and from then on each time that the
// bucket gains a request, for as long as the server announces a limit. It removes the limit of
// a server that has not responded for forgetAfter.
func (l *limits) scheduleCapacity(server string, b *bucket, after time.Duration) {
	if l.OnCapacity == nil {
		return
	}
	time.AfterFunc(after, func() {
		entries := l.entryCount()
		s := l.shard(server)
		s.mu.Lock()
		current := s.buckets[server] == b
		if current && time.Since(b.observed) > forgetAfter {
			l.forget(s, server)
			current = false
		}
		next := b.interval(entries)
		s.mu.Unlock()
		if current {
			l.OnCapacity()
			l.scheduleCapacity(server, b, next)
		}
	})
}

// withBucket calls use with the server's filled bucket if the server announces a limit.
func (l *limits) withBucket(server string, now time.Time, use func(b *bucket, entries int)) {
	if l.limited.Load() == 0 {
		return
	}
	entries := l.entryCount()
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
	l.withBucket(server, now, func(b *bucket, entries int) { wait = b.wait(entries) })
	return wait
}

// Reserve implements Limits.
func (l *limits) Reserve(server string, maxWait time.Duration, now time.Time) (time.Duration, bool) {
	wait := time.Duration(0)
	l.withBucket(server, now, func(b *bucket, entries int) {
		if wait = b.wait(entries); wait <= maxWait {
			b.available--
		}
	})
	if wait > maxWait {
		return 0, false
	}
	return wait, true
}

// Release implements Limits.
func (l *limits) Release(server string, now time.Time) {
	l.withBucket(server, now, func(b *bucket, _ int) { b.available++ })
}

// Len implements Limits.
func (l *limits) Len() int {
	return int(l.limited.Load())
}
