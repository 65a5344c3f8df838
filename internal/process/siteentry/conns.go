package siteentry

import (
	"net"
	"net/http"
	"sync"
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
	x := &conn{Conn: c}
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
	case http.StateIdle:
		x.rest()
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

// conn is a connection of a caller.
//
// The standard server calls a connection idle until it has read a whole head. A
// request that is being read when the idle connections are closed is served all
// the same, and its caller never gets the answer. Here the first byte decides:
// either the connection is closed and nothing more is read from it, or it isn't.
type conn struct {
	net.Conn
	mu sync.Mutex
	// idle says that no byte came since the last answer.
	idle   bool
	closed bool
}

// rest notes that the connection waits for its next request.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idle = false
	}
	return n, err
}

func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return
	}
	c.closed = true
	// The caller opens another connection; there is nothing to tell it.
	_ = c.Conn.Close()
}
