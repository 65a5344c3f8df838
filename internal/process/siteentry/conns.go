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
	// defaultHeaderTimeout is how long a caller's headers may take when no document says otherwise.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is how long an idle connection of a caller is kept when no document says otherwise.
	defaultIdleTimeout = 40 * time.Second
	// expireInterval is the time between two looks for connections whose time is
	// up; callers are promised at least the timeout, not its exact end.
	expireInterval = 250 * time.Millisecond
)

// conns are the open connections of callers.
type conns struct {
	mu  sync.Mutex
	all map[*conn]struct{}
}

func newConns() *conns {
	return &conns{all: map[*conn]struct{}{}}
}

// listener hands out connections that can be closed while they are idle.
type listener struct {
	net.Listener
	conns *conns
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &conn{Conn: c, phase: resting, since: time.Now()}
	l.conns.mu.Lock()
	l.conns.all[x] = struct{}{}
	l.conns.mu.Unlock()
	return x, nil
}

// changed follows the server's view of a connection.
func (s *conns) changed(c net.Conn, state http.ConnState) {
	x, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		x.enter(serving)
	case http.StateIdle:
		x.enter(resting)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.all, x)
		s.mu.Unlock()
	}
}

// count returns how many connections are open.
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

// expire closes the connections that have rested, or whose headers have been on
// their way, for longer than the limits allow.
//
// The limits come with each document, and a server of the standard library fixes
// its own at the start. Kept shorter than the document says, a caller's next
// request would cross the closing of its connection.
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
		c.closeAfter(resting, now.Add(-idle))
		c.closeAfter(heading, now.Add(-header))
	}
}

// expireAll applies the limits of the document in force until ctx ends.
func (p *process) expireAll(ctx context.Context) {
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

// phase is what a connection is doing.
type phase int

const (
	// resting connections wait for the first byte of a request.
	resting phase = iota
	// heading connections have a part of a request's headers.
	heading
	// serving connections have a request whose answer isn't complete.
	serving
)

// conn is a connection of a caller.
//
// The standard server calls a connection idle until it has read a whole head. A
// request that is being read when the idle connections are closed is served all
// the same, and its caller never gets the answer. Here the first byte decides:
// either the connection is closed and nothing more is read from it, or it isn't.
type conn struct {
	net.Conn
	mu     sync.Mutex
	phase  phase
	since  time.Time
	closed bool
}

// enter notes that the connection goes over to another phase.
func (c *conn) enter(p phase) {
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
	if n > 0 && c.phase == resting {
		c.phase, c.since = heading, time.Now()
	}
	return n, err
}

func (c *conn) closeIdle() {
	c.closeAfter(resting, time.Now())
}

// closeAfter closes the connection if it has been in the phase since the given time or longer.
func (c *conn) closeAfter(p phase, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.phase != p || c.since.After(since) {
		return
	}
	c.closed = true
	// The caller opens another connection; there is nothing to tell it.
	_ = c.Conn.Close()
}
