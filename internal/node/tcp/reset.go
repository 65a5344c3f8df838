package tcp

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// conn is a connection whose Read distinguishes a reset from an end.
//
// The kernel reports a reset once. A write that is under way may take the error, and a read after it sees an end, by which
// a response without a length would pass for whole.
type conn struct {
	// The methods of TCPConn that write past Write are hidden.
	net.Conn
	tcp *net.TCPConn
	// writing is held by each write for reading.
	writing sync.RWMutex
	reset   atomic.Bool
}

// withResets returns the connection with a Read that distinguishes a reset from an end.
func withResets(c net.Conn, err error) (net.Conn, error) {
	if t, ok := c.(*net.TCPConn); ok && err == nil {
		return &conn{Conn: t, tcp: t}, nil
	}
	return c, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.RLock()
	defer c.writing.RUnlock()
	n, err := c.Conn.Write(b)
	// After an end that came in order it is EPIPE.
	if errors.Is(err, syscall.ECONNRESET) {
		c.reset.Store(true)
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.wasReset() {
		return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// wasReset returns whether the connection, whose end was read, was reset before that.
func (c *conn) wasReset() bool {
	if c.halfClosed() {
		return false
	}
	// Writes on a closed socket end at once.
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.reset.Load()
}

// halfClosed returns whether the peer's end has come in order and the connection still takes writes.
func (c *conn) halfClosed() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	half := false
	err = raw.Control(func(fd uintptr) {
		i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		half = err == nil && i.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && half
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.tcp.SyscallConn()
}

// CloseWrite ends the bytes to the peer.
func (c *conn) CloseWrite() error {
	return c.tcp.CloseWrite()
}
