package tunnel

import (
	"net"
	"sync"

	"hornbeamwood/internal/node/rpc"
)

// Conn is a connection to a server through another entry.
type Conn struct {
	rpc.Stream
	via    string
	remote net.Addr
	closed func()
}

// newConn returns the connection that a stream from the entry at via carries.
func (t *tunnels) newConn(s rpc.Stream, via, address string) *Conn {
	t.open.Add(1)
	return &Conn{Stream: s, via: via, remote: serverAddr(address), closed: sync.OnceFunc(func() { t.open.Add(-1) })}
}

// Via returns the address of the other entry.
func (c *Conn) Via() string { return c.via }

// RemoteAddr returns the address of the server.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// Close implements net.Conn. The other entry closes its connection to the server.
func (c *Conn) Close() error {
	c.closed()
	return c.Stream.Close()
}

// serverAddr is the IP and port of a server.
type serverAddr string

// Network implements net.Addr.
func (serverAddr) Network() string { return "tcp" }

// String implements net.Addr.
func (a serverAddr) String() string { return string(a) }
