package quic

import (
	"context"
	"sync"
	"time"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/raft"
	"hornbeamwood/internal/control/replica"
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
	ctx    context.Context
	cancel context.CancelFunc
	ended  sync.WaitGroup

	mu       sync.Mutex
	outboxes map[string]chan raft.Message
}

// NewTransport returns a Transport that sends through n.
func NewTransport(n rpc.Node) Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &transport{node: n, ctx: ctx, cancel: cancel, outboxes: make(map[string]chan raft.Message)}
}

// Send implements replica.Transport.
//
// Each replica has its own outbox: a frozen one would otherwise hold up the
// heartbeats to all others, and they would elect a new leader.
func (t *transport) Send(address string, m raft.Message) {
	select {
	case t.outbox(address) <- m:
	default:
	}
}

// Probe implements replica.Transport.
func (t *transport) Probe(ctx context.Context, address string) (replica.Formation, error) {
	return rpc.Call(ctx, t.node, address, protocol.Probe, protocol.Empty{})
}

// Close implements Transport.
func (t *transport) Close() {
	t.cancel()
	t.ended.Wait()
}

func (t *transport) outbox(address string) chan raft.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.outboxes[address]
	if ok {
		return o
	}
	o = make(chan raft.Message, outboxLength)
	t.outboxes[address] = o
	t.ended.Go(func() { t.drain(address, o) })
	return o
}

func (t *transport) drain(address string, o chan raft.Message) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-o:
			t.send(address, m)
		}
	}
}

func (t *transport) send(address string, m raft.Message) {
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
	defer cancel()
	// A lost message is consensus's everyday case; it sends again.
	_ = rpc.Notify(ctx, t.node, address, protocol.Message, m)
}
