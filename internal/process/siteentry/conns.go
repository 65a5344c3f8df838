package siteentry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"hornbeamwood/internal/site/document"
)

const (
	// defaultHeaderTimeout is the timeout for a caller's headers while no document sets one.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is the timeout for a caller's idle connection while no document sets one.
	defaultIdleTimeout = 40 * time.Second
	// expireInterval is the interval of the check for expired connections. Callers are promised at least the
	// timeout, not its exact end.
	expireInterval = 250 * time.Millisecond
	// leastIdle is how long a connection has been idle before it is closed for a new one.
	leastIdle = 500 * time.Millisecond
)

// conns tracks the open connections of callers.
type conns struct {
	mu  sync.Mutex
	all map[*conn]struct{}
}

func newConns() *conns {
	return &conns{all: map[*conn]struct{}{}}
}

// listener returns connections that can be closed while they are idle.
type listener struct {
	net.Listener
	conns *conns
	gate  *gate
}

// Accept implements net.Listener.
//
// A connection that can't be served is closed before a byte of it is read. Its caller can tell that its request has not
// run, and goes to another entry; all that are read here would be late.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if reason := l.gate.refuses(l.conns); reason != "" {
			l.gate.refuse(c, reason)
			continue
		}
		x := &conn{Conn: c, phase: phaseIdle, since: time.Now()}
		l.conns.mu.Lock()
		l.conns.all[x] = struct{}{}
		l.conns.mu.Unlock()
		return x, nil
	}
}

// stateChanged applies a state change that the HTTP server reports for a connection.
func (s *conns) stateChanged(c net.Conn, state http.ConnState) {
	x, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		x.setPhase(phaseServing)
	case http.StateIdle:
		x.setPhase(phaseIdle)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.all, x)
		s.mu.Unlock()
	}
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

// expire closes the connections that have been idle, or have been sending headers, for longer than the limits
// allow.
//
// The limits may change with each document, but the timeouts of an http.Server are fixed when it starts. With an
// idle timeout shorter than the document's, the server could close a connection while a caller sends its next
// request on it.
func (s *conns) expire(now time.Time, l document.Limits) {
	header, idle := l.HeaderTimeout, l.IdleTimeout
	if header <= 0 {
		header = defaultHeaderTimeout
	}
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		c.closeAfter(phaseIdle, now.Add(-idle))
		c.closeAfter(phaseHeader, now.Add(-header))
	}
}

// expireConns applies the connection limits of the document in force until ctx ends.
func (p *process) expireConns(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			p.conns.expire(now, p.site.limits())
		}
	}
}

// phase is the state of a connection.
type phase int

const (
	// phaseIdle connections wait for the first byte of a request.
	phaseIdle phase = iota
	// phaseHeader connections have received a part of a request's headers.
	phaseHeader
	// phaseServing connections have a request whose response isn't complete.
	phaseServing
)

// conn is a connection of a caller.
//
// The HTTP server regards a connection as idle until it has read all headers of a request. If idle connections
// are closed while headers are being read, that request is still handled, but its caller never gets the
// response. Here the first byte decides: a connection is either closed and never read again, or it stays open.
type conn struct {
	net.Conn
	mu     sync.Mutex
	phase  phase
	since  time.Time
	closed bool
}

// setPhase records that the connection has entered another phase.
func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, time.Now()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 && c.phase == phaseIdle {
		c.phase, c.since = phaseHeader, time.Now()
	}
	return n, err
}

// idleSince returns since when the connection has been idle, and false if it isn't.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.phase == phaseIdle && !c.closed
}

func (c *conn) closeIdle() {
	c.closeAfter(phaseIdle, time.Now())
}

// closeAfter closes the connection if it has been in phase p since the given time or longer.
func (c *conn) closeAfter(p phase, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.phase != p || c.since.After(since) {
		return
	}
	c.closed = true
	// The caller opens another connection, so the error doesn't matter.
	_ = c.Conn.Close()
}
