package limit

import (
	"context"
	"math"
	"slices"
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
	// forgetAfter is how long a limit without further responses is kept.
	forgetAfter = 2 * time.Minute
)

// Limits holds the limits that servers announce, and this entry's share of each.
type Limits interface {
	// Observe processes the response to a request that was sent at sent. perSecond is the number
	// of requests per second that the server accepts from all entries, nil if it announces no
	// limit.
	Observe(server string, perSecond *float64, sent, now time.Time)
	// SetCold sets whether the server is cold, and how many requests all entries may send to it in any
	// second while it is.
	SetCold(server string, cold bool, most float64, now time.Time)
	// ObserveBrittle processes what a response tells about a server that may be brittle.
	ObserveBrittle(o Observation, now time.Time)
	// ExpectBrittle limits the requests to a server that hasn't responded yet, if the service has brittle
	// servers.
	ExpectBrittle(service, server string, now time.Time)
	// Paused returns whether the server gets nothing because it has rejected requests. Unlike Wait it
	// doesn't count reserved requests.
	Paused(server string, now time.Time) bool
	// Wait returns how long it is until a request may be sent to the server.
	Wait(server string, now time.Time) time.Duration
	// Reserve reserves a request to the server that may be sent after the returned time. It returns
	// false if that is more than maxWait from now.
	Reserve(server string, maxWait time.Duration, now time.Time) (time.Duration, bool)
	// Release cancels the reservation of a request that is not sent, which was made at reservedAt.
	Release(server string, reservedAt, now time.Time)
	// Covers returns whether a reservation holds for all limits of the server. One that was made before a limit
	// began doesn't.
	Covers(server string, reservedAt time.Time) bool
	// Enter records that a request is in flight at the server from now on. While a brittle server runs as
	// many requests of this entry as it may, Enter waits for the end of one, but not for long. It returns
	// false if the request may not be sent.
	Enter(ctx context.Context, server string) bool
	// Leave records that a request isn't in flight at the server any more.
	Leave(server string, now time.Time)
	// SetEntries sets how many entries share the limits.
	SetEntries(n int)
	// Len returns how many limits there are.
	Len() int
	// Brittle returns how many of them are limits of brittle servers.
	Brittle() int
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

// kind is the reason of a limit.
type kind int

const (
	// announced limits come with a server's responses.
	announced kind = iota
	// cold limits hold while a server is cold.
	cold
	// brittle limits hold while a server falls over if it has to reject too many requests.
	brittle
)

// key identifies a bucket.
type key struct {
	server string
	kind   kind
}

// forgetAfter is how long the limit of a server that gets no more requests is kept.
func (k key) forgetAfter() time.Duration {
	if k.kind == brittle {
		return brittleForgetAfter
	}
	return forgetAfter
}

type shard struct {
	mu      sync.Mutex
	buckets map[key]*bucket
	// inFlight is how many requests of this entry are in flight at each server.
	inFlight map[string]int
}

// of returns the server's buckets.
func (s *shard) of(server string) []*bucket {
	var all []*bucket
	for _, k := range []kind{announced, cold, brittle} {
		if b, ok := s.buckets[key{server, k}]; ok {
			all = append(all, b)
		}
	}
	return all
}

type limits struct {
	Config
	shards  [shards]shard
	entries atomic.Int64
	// limited is how many limits there are; while there is none, no lock is taken.
	limited atomic.Int64
	// brittle is how many of them are limits of brittle servers, services the services that have some.
	brittle  atomic.Int64
	services brittleServices
}

// New returns Limits without any announced limit.
func New(c Config) Limits {
	l := &limits{Config: c, services: brittleServices{services: map[string]brittleService{}}}
	l.entries.Store(assumedEntries)
	for i := range l.shards {
		l.shards[i].buckets, l.shards[i].inFlight = map[key]*bucket{}, map[string]int{}
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
	k := key{server, announced}
	b, ok := s.buckets[k]
	switch {
	case perSecond == nil && ok && sent.After(b.observed):
		l.forget(s, k, now)
		l.logLimit(server, 0, entries)
	case perSecond != nil && !ok:
		b = newBucket(*perSecond, l.Random(), now)
		s.buckets[k] = b
		l.limited.Add(1)
		l.scheduleCapacity(k, b, b.wait(entries, now))
		l.logLimit(server, *perSecond, entries)
	case perSecond != nil:
		if b.update(*perSecond, entries, now) {
			l.logLimit(server, *perSecond, entries)
		}
	}
}

// SetCold implements Limits.
func (l *limits) SetCold(server string, isCold bool, most float64, now time.Time) {
	if !isCold && l.limited.Load() == 0 {
		return
	}
	s, k := l.shard(server), key{server, cold}
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[k]
	switch {
	case ok && !isCold:
		l.forget(s, k, now)
		l.logCold(server, false, most)
	case ok:
		b.observed = now
	case isCold:
		b = newColdBucket(most, l.Random(), now)
		s.buckets[k] = b
		l.limited.Add(1)
		l.scheduleCapacity(k, b, b.wait(l.entryCount(), now))
		l.logCold(server, true, most)
	}
}

func (l *limits) logCold(server string, isCold bool, most float64) {
	event.ColdServerLimited.Write(l.Logger, log.Fields{"server": server, "cold": isCold, "most": most, "entries": l.entryCount()})
}

// forget removes a limit; the caller holds the lock.
func (l *limits) forget(s *shard, k key, now time.Time) {
	b := s.buckets[k]
	delete(s.buckets, k)
	l.limited.Add(-1)
	if k.kind == brittle {
		l.brittle.Add(-1)
		s.admit(k.server, b, math.MaxInt, now)
	}
}

func (l *limits) logLimit(server string, perSecond float64, entries int) {
	event.LimitNamed.Write(l.Logger, log.Fields{"server": server, "per-second": perSecond, "entries": entries})
}

// scheduleCapacity calls OnCapacity after the given time, and from then on each time that the
// bucket gains a request, for as long as the server announces a limit. It removes the limit of
// a server that has not responded for forgetAfter.
func (l *limits) scheduleCapacity(k key, b *bucket, after time.Duration) {
	if l.OnCapacity == nil {
		return
	}
	time.AfterFunc(after, func() {
		entries := l.entryCount()
		s := l.shard(k.server)
		s.mu.Lock()
		current := s.buckets[k] == b
		if current && time.Since(b.observed) > k.forgetAfter() {
			l.forget(s, k, time.Now())
			current = false
		}
		next := b.interval(entries)
		s.mu.Unlock()
		if current {
			l.OnCapacity()
			l.scheduleCapacity(k, b, next)
		}
	})
}

// withBuckets calls use with the server's filled buckets, if it has any.
func (l *limits) withBuckets(server string, now time.Time, use func(all []*bucket, entries int)) {
	if l.limited.Load() == 0 {
		return
	}
	entries := l.entryCount()
	s := l.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.of(server)
	for _, b := range all {
		b.fill(entries, now)
	}
	use(all, entries)
}

// longestWait returns how long it is until all buckets have a request.
func longestWait(all []*bucket, entries int, now time.Time) time.Duration {
	wait := time.Duration(0)
	for _, b := range all {
		wait = max(wait, b.wait(entries, now))
	}
	return wait
}

// Wait implements Limits.
func (l *limits) Wait(server string, now time.Time) time.Duration {
	wait := time.Duration(0)
	l.withBuckets(server, now, func(all []*bucket, entries int) { wait = longestWait(all, entries, now) })
	return wait
}

// Reserve implements Limits.
func (l *limits) Reserve(server string, maxWait time.Duration, now time.Time) (time.Duration, bool) {
	wait := time.Duration(0)
	l.withBuckets(server, now, func(all []*bucket, entries int) {
		if wait = longestWait(all, entries, now); wait > maxWait {
			return
		}
		for _, b := range all {
			b.available--
		}
	})
	if wait > maxWait {
		return 0, false
	}
	return wait, true
}

// Release implements Limits.
func (l *limits) Release(server string, reservedAt, now time.Time) {
	l.withBuckets(server, now, func(all []*bucket, _ int) {
		for _, b := range all {
			if b.covers(reservedAt) {
				b.available++
			}
		}
	})
}

// Covers implements Limits.
func (l *limits) Covers(server string, reservedAt time.Time) bool {
	if l.limited.Load() == 0 {
		return true
	}
	s := l.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.of(server), func(b *bucket) bool { return !b.covers(reservedAt) })
}

// Len implements Limits.
func (l *limits) Len() int {
	return int(l.limited.Load())
}
