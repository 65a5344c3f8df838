package backoff

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Max bounds one backoff, so that one wrong response doesn't take a server out for good. A
	// server that requests a longer one is tried again after it.
	Max = 5 * time.Minute
	// probeTimeout is how long after the end of a backoff the first request may take to be answered
	// before the next one is sent. A server that refuses requests does so at once.
	probeTimeout = 250 * time.Millisecond
	// forgetAfter is how long after its end a backoff without a further response is kept.
	forgetAfter = 2 * time.Minute
)

// Backoffs holds the backoffs of servers. After its backoff a server gets one request at a time until it
// accepts one, because it may request a backoff again.
type Backoffs interface {
	// Request records that the server requested a backoff. It returns true if the server wasn't in backoff before.
	Request(server string, d time.Duration, now time.Time) bool
	// Accept records that the server accepted a request sent at sent. It returns true if that ends
	// its backoff.
	Accept(server string, sent time.Time) bool
	// Wait returns how long it is until a request may be sent to the server.
	Wait(server string, now time.Time) time.Duration
	// Active returns whether the server is in backoff. Unlike Wait it doesn't count a request that is reserved.
	Active(server string, now time.Time) bool
	// Reserve reserves the next request to the server, which may be sent after the returned time. It
	// returns false if that is more than maxWait from now.
	Reserve(server string, maxWait time.Duration, now time.Time) (time.Duration, bool)
	// Release cancels the last reservation.
	Release(server string)
	// Len returns how many servers are in backoff, or have not accepted a request since.
	Len() int
}

// state is one server's backoff.
type state struct {
	requestedAt, until time.Time
	// probeUntil is until when the server gets no request besides the reserved one.
	probeUntil time.Time
}

// next returns when the next request may be sent.
func (s *state) next() time.Time {
	if s.probeUntil.After(s.until) {
		return s.probeUntil
	}
	return s.until
}

type backoffs struct {
	mu      sync.Mutex
	servers map[string]*state
	// count is the number of servers; while it is zero, no lock is taken.
	count atomic.Int64
}

// New returns Backoffs of no server.
func New() Backoffs {
	return &backoffs{servers: map[string]*state{}}
}

// Request implements Backoffs.
func (b *backoffs) Request(server string, d time.Duration, now time.Time) bool {
	if d <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	s, ok := b.servers[server]
	if !ok {
		s = &state{}
		b.servers[server] = s
	}
	b.count.Store(int64(len(b.servers)))
	before := ok && now.Before(s.until)
	s.requestedAt = now
	if until := now.Add(min(d, Max)); until.After(s.until) {
		s.until = until
	}
	s.probeUntil = time.Time{}
	return !before
}

// sweep removes the backoffs that ended long ago.
func (b *backoffs) sweep(now time.Time) {
	for server, s := range b.servers {
		if now.Sub(s.until) > forgetAfter {
			delete(b.servers, server)
		}
	}
}

// Accept implements Backoffs. Responses to earlier requests may arrive after the one that requested a backoff.
func (b *backoffs) Accept(server string, sent time.Time) bool {
	if b.count.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[server]
	if !ok || !sent.After(s.requestedAt) {
		return false
	}
	delete(b.servers, server)
	b.count.Store(int64(len(b.servers)))
	return true
}

// Wait implements Backoffs.
func (b *backoffs) Wait(server string, now time.Time) time.Duration {
	if b.count.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[server]
	if !ok {
		return 0
	}
	return max(0, s.next().Sub(now))
}

// Active implements Backoffs.
func (b *backoffs) Active(server string, now time.Time) bool {
	if b.count.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[server]
	return ok && now.Before(s.until)
}

// Reserve implements Backoffs.
func (b *backoffs) Reserve(server string, maxWait time.Duration, now time.Time) (time.Duration, bool) {
	if b.count.Load() == 0 {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[server]
	if !ok {
		return 0, true
	}
	wait := max(0, s.next().Sub(now))
	if wait > maxWait {
		return 0, false
	}
	s.probeUntil = now.Add(wait + probeTimeout)
	return wait, true
}

// Release implements Backoffs.
func (b *backoffs) Release(server string) {
	if b.count.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.servers[server]; ok {
		s.probeUntil = time.Time{}
	}
}

// Len implements Backoffs.
func (b *backoffs) Len() int {
	return int(b.count.Load())
}
