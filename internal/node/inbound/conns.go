package inbound

import (
	"sync"
	"time"
)

// leastIdle is how long a connection has been idle before it is closed for a new one.
const leastIdle = 500 * time.Millisecond

// conns are the open connections of a listener.
type conns struct {
	mu  sync.Mutex
	all map[*conn]struct{}
}

func newConns() *conns {
	return &conns{all: map[*conn]struct{}{}}
}

func (s *conns) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[c] = struct{}{}
}

func (s *conns) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, c)
}

// count returns the number of open connections.
func (s *conns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// closeIdle closes the connections on which no byte of a next request has been read.
func (s *conns) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		c.closeIdle()
	}
}

// interruptBodies ends the reading of bodies.
func (s *conns) interruptBodies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		c.interruptBody(ErrInterrupted)
	}
}

// closeOldest closes the connection that has been idle for the longest time, if that is leastIdle or more.
func (s *conns) closeOldest(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *conn
	since := now.Add(-leastIdle)
	for c := range s.all {
		if at, ok := c.idleSince(); ok && at.Before(since) {
			oldest, since = c, at
		}
	}
	if oldest == nil {
		return false
	}
	oldest.closeIdle()
	delete(s.all, oldest)
	return true
}

// closeStalled closes the connection whose client has made no progress for the longest time, if that is least or more.
func (s *conns) closeStalled(now time.Time, least time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var worst *conn
	longest := least
	for c := range s.all {
		if d := c.stalled(now); d >= longest {
			worst, longest = c, d
		}
	}
	if worst == nil {
		return false
	}
	worst.close()
	delete(s.all, worst)
	return true
}

// closeUnserved closes the connection that has been without a request, or with a body that was refused, for the longest time.
func (s *conns) closeUnserved(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *conn
	since := now
	for c := range s.all {
		if at, ok := c.unservedSince(); ok && at.Before(since) {
			oldest, since = c, at
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	delete(s.all, oldest)
	return true
}

// expire closes the connections that have been idle, have been sending a head, or have taken nothing of an answer for
// longer than the limits allow, and interrupts bodies whose deadlines have passed. It calls ended for each during a request.
//
// The limits may change while an HTTP server serves, but its own timeouts are fixed when it starts. With an
// idle timeout shorter than the limit, the server could close a connection while a caller sends its next
// request on it.
func (s *conns) expire(now time.Time, l Limits, ended func(reason string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		c.closeAfter(phaseIdle, now.Add(-l.IdleTimeout))
		if c.closeAfter(phaseHeader, now.Add(-l.HeaderTimeout)) {
			ended(endedForHeader)
		}
		if c.expireBody(now) {
			ended(endedForBody)
		}
		if c.closeUnread(now.Add(-l.IdleTimeout)) {
			ended(endedForAnswer)
		}
	}
}
