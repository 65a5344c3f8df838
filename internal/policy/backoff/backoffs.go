package rest

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxRest bounds one rest, so that one wrong response doesn't take a server out for good. A
	// server that asks for longer is tried again after it.
	MaxRest = 5 * time.Minute
	// probeTimeout is how long after the end of a rest the first request may take to be answered
	// before the next one is sent. A server that turns requests away does so at once.
	probeTimeout = 250 * time.Millisecond
	// forgetAfter is how long after its end a rest without a further response is kept.
	forgetAfter = 2 * time.Minute
)

// Rests holds the rests of servers. After its rest a server gets one request at a time until it
// accepts one, because it may ask for rest again.
type Rests interface {
	// Ask records that the server asked for rest. It returns true if the server didn't rest before.
	Ask(server string, d time.Duration, now time.Time) bool
	// Accept records that the server accepted a request sent at sent. It returns true if that ends
	// its rest.
	Accept(server string, sent time.Time) bool
	// Wait returns how long it is until a request may be sent to the server.
	Wait(server string, now time.Time) time.Duration
	// Resting returns whether the server rests. Unlike Wait it doesn't count a request that is reserved.
	Resting(server string, now time.Time) bool
	// Reserve reserves the next request to the server, which may be sent after the returned time. It
	// returns false if that is more than maxWait from now.
	Reserve(server string, maxWait time.Duration, now time.Time) (time.Duration, bool)
	// Release cancels the last reservation.
	Release(server string)
	// Len returns how many servers rest, or have not accepted a request since.
	Len() int
}

// state is one server's rest.
type state struct {
	askedAt, until time.Time
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

type rests struct {
	mu      sync.Mutex
	servers map[string]*state
	// count is the number of servers; while it is zero, no lock is taken.
	count atomic.Int64
}

// New returns Rests of no server.
func New() Rests {
	return &rests{servers: map[string]*state{}}
}

// Ask implements Rests.
func (r *rests) Ask(server string, d time.Duration, now time.Time) bool {
	if d <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	s, ok := r.servers[server]
	if !ok {
		s = &state{}
		r.servers[server] = s
	}
	r.count.Store(int64(len(r.servers)))
	resting := ok && now.Before(s.until)
	s.askedAt = now
	if until := now.Add(min(d, MaxRest)); until.After(s.until) {
		s.until = until
	}
	s.probeUntil = time.Time{}
	return !resting
}

// sweep removes the rests that ended long ago.
func (r *rests) sweep(now time.Time) {
	for server, s := range r.servers {
		if now.Sub(s.until) > forgetAfter {
			delete(r.servers, server)
		}
	}
}

// Accept implements Rests. Responses to earlier requests may arrive after the one that asked for rest.
func (r *rests) Accept(server string, sent time.Time) bool {
	if r.count.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[server]
	if !ok || !sent.After(s.askedAt) {
		return false
	}
	delete(r.servers, server)
	r.count.Store(int64(len(r.servers)))
	return true
}

// Wait implements Rests.
func (r *rests) Wait(server string, now time.Time) time.Duration {
	if r.count.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[server]
	if !ok {
		return 0
	}
	return max(0, s.next().Sub(now))
}

// Resting implements Rests.
func (r *rests) Resting(server string, now time.Time) bool {
	if r.count.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[server]
	return ok && now.Before(s.until)
}

// Reserve implements Rests.
func (r *rests) Reserve(server string, maxWait time.Duration, now time.Time) (time.Duration, bool) {
	if r.count.Load() == 0 {
		return 0, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[server]
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

// Release implements Rests.
func (r *rests) Release(server string) {
	if r.count.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.servers[server]; ok {
		s.probeUntil = time.Time{}
	}
}

// Len implements Rests.
func (r *rests) Len() int {
	return int(r.count.Load())
}
