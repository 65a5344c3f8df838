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
	// outboxLength is the number of messages that are queued for one replica. Raft resends dropped messages.
	outboxLength = 256
	// sendTimeout bounds the sending of one message to a replica that does not respond.
	sendTimeout = time.Second
)

// Transport sends the messages of one replica over QUIC.
type Transport interface {
	replica.Transport
	// Close stops the sending goroutines.
	Close()
}

type transport struct {
	node   rpc.Node
	outbox outbox.Outbox[raft.Message]
}

// NewTransport returns a Transport that sends through n.
//
// Each destination has its own queue. Otherwise a suspended replica would delay
// the heartbeats to all others, and they would elect a new leader.
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
	// Raft tolerates lost messages and resends them.
	_ = rpc.Notify(ctx, t.node, address, protocol.Message, m)
}
