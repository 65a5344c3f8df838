package httphead

import (
	"net"
	"sync"
)

// transportConn is a connection of a transport.
type transportConn struct {
	net.Conn
	// inUse is held from when a request gets the connection until its response has been checked. The http.Transport offers
	// the connection to the next request before that.
	inUse sync.Mutex
	// refused is set once a response was malformed or hasn't been read whole. It is guarded by inUse.
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
// After a malformed one it waits until the http.Transport has noticed the end of the connection as well. Otherwise bytes that
// it has read already would be taken for the next response.
func (c *transportConn) acquire() {
	c.inUse.Lock()
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
	c.inUse.Unlock()
}
