package inbound

import (
	"context"
	"net"

	"hornbeamwood/internal/node/tcp"
)

// Listen listens on an address of the form IP:port. The kernel keeps about receiveBytes of what a connection's client has
// sent and that isn't read.
func Listen(ctx context.Context, address string, receiveBytes int) (net.Listener, error) {
	c := net.ListenConfig{Control: tcp.ReceiveBuffer(receiveBytes)}
	return c.Listen(ctx, "tcp", address)
}
