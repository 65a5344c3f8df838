package tcp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent data may remain unacknowledged before the
	// connection is closed: long enough for some retransmissions, and well below
	// the time that callers wait. It also decides when keep-alive probes give up,
	// whatever their count.
	userTimeout = 4 * time.Second
	// keepAliveIdle is how long a connection is idle before the first probe, and
	// keepAliveInterval the time between probes.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	// keepAliveCount leaves the system's number of probes unchanged.
	keepAliveCount = -1
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// control sets TCP_USER_TIMEOUT on a socket.
//
// Without it, writes on a broken link appear to succeed, and the connection hangs
// for many minutes.
func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return fmt.Errorf("tcp: set the user timeout: %w", err)
	}
	return nil
}

// Listen listens on an address of the form IP:port. The kernel keeps about so many bytes, if not zero, of what an accepted
// connection has received and its reader hasn't read.
func Listen(ctx context.Context, address string, receiveBuffer int) (net.Listener, error) {
	c := net.ListenConfig{Control: control, KeepAliveConfig: keepAlive()}
	if receiveBuffer > 0 {
		c.Control = func(network, address string, r syscall.RawConn) error {
			return errors.Join(control(network, address, r), ReceiveBuffer(receiveBuffer)(network, address, r))
		}
	}
	return c.Listen(ctx, "tcp4", address)
}

// ReceiveBuffer returns a function that sets SO_RCVBUF on a socket to n bytes; the connections that a listening socket accepts
// inherit it.
func ReceiveBuffer(n int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n)
		})
		if err == nil {
			err = failed
		}
		if err != nil {
			return fmt.Errorf("tcp: set the receive buffer: %w", err)
		}
		return nil
	}
}

// Dial connects to an address of the form IP:port. ctx bounds the time to connect.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Control: control, KeepAliveConfig: keepAlive()}
	return withResets(d.DialContext(ctx, "tcp4", address))
}

// DialFrom returns a function that connects like Dial, from the IP of a local address of the form IP:port.
func DialFrom(local string) (func(ctx context.Context, address string) (net.Conn, error), error) {
	source, err := net.ResolveTCPAddr("tcp4", local)
	if err != nil {
		return nil, fmt.Errorf("tcp: local address %q: %w", local, err)
	}
	d := net.Dialer{Control: controlSource, KeepAliveConfig: keepAlive(), LocalAddr: &net.TCPAddr{IP: source.IP}}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return withResets(d.DialContext(ctx, "tcp4", address))
	}, nil
}

// controlSource is control for a socket with a source address. The port is chosen when the socket
// connects: chosen before, it could serve only one connection at a time.
func controlSource(network, address string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return fmt.Errorf("tcp: set the source address: %w", err)
	}
	return control(network, address, c)
}
