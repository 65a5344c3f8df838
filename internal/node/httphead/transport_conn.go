package httphead

import (
	"net"
	"sync"
)

// transportConn is a connection of a transport.
type transportConn struct {
	net.Conn
	// exchange is held from when a request gets the connection until its response has been checked. The http.Transport
	// offers the connection to the next request before that.
	exchange sync.Mutex
	// refused is set once a response was malformed. It is guarded by exchange.
	refused bool
	closing sync.Once
	// closed is closed once the http.Transport has closed the connection.
	closed chan struct{}
}

func newTransportConn(c net.Conn) *transportConn {
	return &transportConn{Conn: c, closed: make(chan struct{})}
}

// Close implements net.Conn.
func (c *transportConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// acquire waits until the last response has been checked.
//
// If that was malformed, the http.Transport may have read more than it, which would be the response to a request that it
// takes before it notices the end of the connection.
func (c *transportConn) acquire() {
	c.exchange.Lock()
	if c.refused {
		<-c.closed
	}
}

// release leaves the connection to the next request, or ends it.
func (c *transportConn) release(reusable bool) {
	if !reusable {
		c.refused = true
		_ = c.Conn.Close()
	}
	c.exchange.Unlock()
}
