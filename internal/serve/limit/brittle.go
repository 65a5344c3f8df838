package limit

import (
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/serve/request"
)

const (
	// brittleEnd is how long a server's responses must lack the announcement until it counts as withdrawn.
	brittleEnd = time.Second
	// brittleForgetAfter is how long an announcement without a further response is kept.
	brittleForgetAfter = 30 * time.Second
)

// Observation is what a response tells about a server that may be brittle.
type Observation struct {
	// Server is the server's ID, Service the service that it belongs to, Slots how many requests it
	// processes concurrently.
	Server, Service string
	Slots           int
	// Tolerated is how many rejections in a second the server tolerates, nil if it is not brittle.
	Tolerated *float64
	// Rejected is set if the server rejected the request for want of room.
	Rejected bool
	// Stream is set if the response is a stream, which occupies a slot until its end. WorkTime is the
	// mean time to that, zero while unknown.
	Stream   bool
	WorkTime time.Duration
	// Load is the server's load, nil if not stated.
	Load *request.Load
	// Sent is when the request was sent.
	Sent time.Time
}

// brittleService is a service with brittle servers.
type brittleService struct {
	// latest is the quota of the server that responded last. Servers that weren't used yet begin
	// with it.
	latest brittleQuota
	// since and observed are when a server first and last said that it is brittle.
	since, observed time.Time
}

// brittleServices are the services with brittle servers.
type brittleServices struct {
	mu       sync.Mutex
	services map[string]brittleService
}

// get returns a service with brittle servers.
func (b *brittleServices) get(service string, now time.Time) (brittleService, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[service]
	if ok && now.Sub(s.observed) > brittleForgetAfter {
		delete(b.services, service)
		return s, false
	}
	return s, ok
}

func (b *brittleServices) set(service string, q brittleQuota, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := now
	if s, ok := b.services[service]; ok {
		since = s.since
	}
	b.services[service] = brittleService{latest: q, since: since, observed: now}
}

// end removes the service if a response to a request that was sent at sent lacks the announcement.
func (b *brittleServices) end(service string, sent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.services[service]; ok && sent.Sub(s.observed) > brittleEnd {
		delete(b.services, service)
	}
}

// ObserveBrittle implements Limits.
//
// A response without an announcement ends it only if its request was sent well after the last one, because
// responses on different connections can overtake each other.
func (l *limits) ObserveBrittle(o Observation, now time.Time) {
	if o.Tolerated == nil && l.limited.Load() == 0 {
		return
	}
	entries := l.entryCount()
	s, k := l.shard(o.Server), key{o.Server, brittle}
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[k]
	if o.Tolerated == nil {
		l.services.end(o.Service, o.Sent)
		if ok && o.Sent.Sub(b.observed) > brittleEnd {
			l.forget(s, k, now)
			l.logBrittle(o.Server, o.Service, 0)
		}
		return
	}
	if !ok {
		q := newBrittleQuota(o, s.inFlight[o.Server], now)
		b = newBrittleBucket(q, l.Random(), now)
		b.unlimitedUntil = now.Add(learnTime)
		l.addBrittle(s, k, b)
		l.logBrittle(o.Server, o.Service, q.tolerated)
	}
	b.observeBrittle(o, entries, l.Random(), now)
	s.admit(o.Server, b, b.most(entries, now), now)
	l.services.set(o.Service, *b.brittle, now)
}

// addBrittle adds the bucket of a brittle server; the caller holds the lock.
func (l *limits) addBrittle(s *shard, k key, b *bucket) {
	s.buckets[k] = b
	l.limited.Add(1)
	l.brittle.Add(1)
	l.scheduleCapacity(k, b, maxBrittleInterval)
}

// ExpectBrittle implements Limits.
func (l *limits) ExpectBrittle(service, server string, now time.Time) {
	if l.brittle.Load() == 0 {
		return
	}
	known, ok := l.services.get(service, now)
	if !ok {
		return
	}
	s, k := l.shard(server), key{server, brittle}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.buckets[k]; ok {
		return
	}
	q := known.latest
	q.updated = now
	q.beginConcurrency(s.inFlight[server], now)
	b := newBrittleBucket(&q, l.Random(), now)
	b.unlimitedUntil = known.since.Add(learnTime)
	l.addBrittle(s, k, b)
	l.logBrittle(server, service, q.tolerated)
}

// Paused implements Limits.
func (l *limits) Paused(server string, now time.Time) bool {
	if l.brittle.Load() == 0 {
		return false
	}
	s := l.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[key{server, brittle}]
	return ok && now.Before(b.pausedUntil)
}

// Brittle implements Limits.
func (l *limits) Brittle() int {
	return int(l.brittle.Load())
}

func (l *limits) logBrittle(server, service string, tolerated float64) {
	event.ServerBrittle.Write(l.Logger, log.Fields{"server": server, "service": service, "tolerated": tolerated, "entries": l.entryCount()})
}
