package quic

import (
	"context"
	"time"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/raft"
	"hornbeamwood/internal/control/replica"
	"hornbeamwood/internal/node/outbox"
	"hornbeamwood/internal/node/rpc"
)

const (
	// outboxLength bounds what waits for one replica; consensus repeats what is dropped.
	outboxLength = 256
	// sendTimeout bounds one message to a replica that does not answer.
	sendTimeout = time.Second
)

// Transport carries messages of one replica over QUIC; Close ends its goroutines.
type Transport interface {
	replica.Transport
	// Close ends the goroutines that send.
	Close()
}

type transport struct {
	node   rpc.Node
	outbox outbox.Outbox[raft.Message]
}

// NewTransport returns a Transport that sends through n.
//
// Each replica has its own queue: a frozen one would otherwise hold up the
// heartbeats to all others, and they would elect a new leader.
func NewTransport(n rpc.Node) Transport {
	t := &transport{node: n}
	t.outbox = outbox.New(outbox.Config[raft.Message]{Length: outboxLength, Send: t.send})
	return t
}

// Send implements replica.Transport.
func (t *transport) Send(address string, m raft.Message) {
	t.outbox.Post(address, m)
}

// Probe implements replica.Transport.
func (t *transport) Probe(ctx context.Context, address string) (replica.Formation, error) {
	return rpc.Call(ctx, t.node, address, protocol.Probe, protocol.Empty{})
}

// Close implements Transport.
func (t *transport) Close() {
	t.outbox.Close()
}

func (t *transport) send(ctx context.Context, address string, m raft.Message) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	// A lost message is consensus's everyday case; it sends again.
	_ = rpc.Notify(ctx, t.node, address, protocol.Message, m)
}
