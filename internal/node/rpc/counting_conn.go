package rpc

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes sent on a UDP socket, without IP and UDP headers.
type countingConn struct {
	*net.UDPConn
	sent atomic.Int64
}

// WriteMsgUDP implements the method that quic-go uses to send where the operating system supports it.
func (c *countingConn) WriteMsgUDP(b, oob []byte, a *net.UDPAddr) (n, oobn int, err error) {
	n, oobn, err = c.UDPConn.WriteMsgUDP(b, oob, a)
	c.sent.Add(int64(n))
	return n, oobn, err
}

// WriteTo implements net.PacketConn.
func (c *countingConn) WriteTo(b []byte, a net.Addr) (int, error) {
	n, err := c.UDPConn.WriteTo(b, a)
	c.sent.Add(int64(n))
	return n, err
}
