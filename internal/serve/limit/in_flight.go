package limit

import (
	"context"
	"slices"
	"time"
)

// maxEnterWait is how long a request waits for the end of another one. After that another server is chosen.
const maxEnterWait = 100 * time.Millisecond

// entrant is a request that waits until fewer are in flight.
type entrant struct {
	// admitted is closed once the request is in flight.
	admitted chan struct{}
}

// Enter implements Limits.
func (l *limits) Enter(ctx context.Context, server string) bool {
	e := l.enter(server, time.Now())
	if e == nil {
		return true
	}
	t := time.NewTimer(maxEnterWait)
	defer t.Stop()
	select {
	case <-e.admitted:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return l.withdraw(server, e)
}

// enter records a request in flight, or returns the entrant that waits for that.
func (l *limits) enter(server string, now time.Time) *entrant {
	entries := l.entryCount()
	s := l.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[key{server, brittle}]
	if ok && (len(b.queue) > 0 || s.inFlight[server] >= b.most(entries, now)) {
		e := &entrant{make(chan struct{})}
		b.queue = append(b.queue, e)
		return e
	}
	s.setInFlight(server, s.inFlight[server]+1, now)
	return nil
}

// withdraw removes an entrant. It returns true if that was admitted meanwhile.
func (l *limits) withdraw(server string, e *entrant) bool {
	s := l.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.buckets[key{server, brittle}]; ok {
		b.queue = slices.DeleteFunc(b.queue, func(x *entrant) bool { return x == e })
	}
	select {
	case <-e.admitted:
		return true
	default:
		return false
	}
}

// Leave implements Limits.
func (l *limits) Leave(server string, now time.Time) {
	entries := l.entryCount()
	s := l.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setInFlight(server, s.inFlight[server]-1, now)
	if b, ok := s.buckets[key{server, brittle}]; ok {
		s.admit(server, b, b.most(entries, now), now)
	}
}

// setInFlight sets how many requests are in flight at the server; the caller holds the lock.
func (s *shard) setInFlight(server string, n int, now time.Time) {
	if b, ok := s.buckets[key{server, brittle}]; ok {
		b.brittle.observeInFlight(n, now)
	}
	if n <= 0 {
		delete(s.inFlight, server)
		return
	}
	s.inFlight[server] = n
}

// admit lets the requests that have waited longest be in flight while there are fewer than most; the caller holds the
// lock.
func (s *shard) admit(server string, b *bucket, most int, now time.Time) {
	for len(b.queue) > 0 && s.inFlight[server] < most {
		s.setInFlight(server, s.inFlight[server]+1, now)
		close(b.queue[0].admitted)
		b.queue = b.queue[1:]
	}
}
