package replica

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/raft"
)

var errUnreachable = errors.New("unreachable")

// link is one direction of a connection between two addresses.
type link struct{ from, to string }

// network carries encoded messages between replicas in one process; single directions can be cut.
type network struct {
	// bytes counts the bytes of all encoded messages, sent counts them by sender.
	bytes atomic.Int64
	sent  map[string]int64
	mu    sync.Mutex
	nodes map[string]Replica
	cuts  map[link]bool
	// suspended holds the addresses whose replica blocks in a send, as a suspended process does.
	suspended map[string]chan struct{}
	// messageLimits bound how many more messages of a kind may pass a link.
	messageLimits map[link]*messageLimit
}

// messageLimit bounds the messages of one kind.
type messageLimit struct {
	kind raft.MessageKind
	left int
}

func newNetwork() *network {
	return &network{nodes: map[string]Replica{}, cuts: map[link]bool{}, suspended: map[string]chan struct{}{}, messageLimits: map[link]*messageLimit{}, sent: map[string]int64{}}
}

func (n *network) attach(address string, r Replica) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = r
}

func (n *network) detach(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

// cut drops everything sent from one address to another until heal is called.
func (n *network) cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = true
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// limit bounds how many more messages of one kind may pass a link.
func (n *network) limit(from, to string, kind raft.MessageKind, left int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messageLimits[link{from, to}] = &messageLimit{kind: kind, left: left}
}

func (n *network) exhausted(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messageLimits[link{from, to}].left < 0
}

// allow counts a message against the limit of its link and reports whether it may pass.
func (n *network) allow(from, to string, kind raft.MessageKind) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.messageLimits[link{from, to}]
	if !ok || l.kind != kind {
		return true
	}
	l.left--
	return l.left >= 0
}

func (n *network) suspend(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspended[address] = make(chan struct{})
}

func (n *network) resume(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed, ok := n.suspended[address]; ok {
		close(resumed)
		delete(n.suspended, address)
	}
}

// waitWhileSuspended blocks while the replica at address is suspended.
func (n *network) waitWhileSuspended(address string) {
	n.mu.Lock()
	resumed := n.suspended[address]
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (n *network) replicaAt(from, to string) Replica {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[link{from, to}] {
		return nil
	}
	return n.nodes[to]
}

// count adds to the bytes that the replica at address has sent.
func (n *network) count(address string, bytes int) {
	n.bytes.Add(int64(bytes))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[address] += int64(bytes)
}

func (n *network) bytesOf(address string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[address]
}

// testTransport is a replica's Transport.
type testTransport struct {
	network *network
	address string
}

func (t testTransport) Send(address string, m raft.Message) {
	t.network.waitWhileSuspended(t.address)
	r := t.network.replicaAt(t.address, address)
	if r == nil || !t.network.allow(t.address, address, m.Kind) {
		return
	}
	b, err := codec.Marshal(m)
	if err != nil {
		panic(err)
	}
	t.network.count(t.address, len(b))
	decoded, err := codec.UnmarshalStrict[raft.Message](b)
	if err != nil {
		panic(err)
	}
	r.Receive(decoded)
}

func (t testTransport) Probe(_ context.Context, address string) (Formation, error) {
	r := t.network.replicaAt(t.address, address)
	if r == nil || t.network.replicaAt(address, t.address) == nil {
		return Formation{}, errUnreachable
	}
	b, err := codec.Marshal(r.Formation())
	if err != nil {
		return Formation{}, err
	}
	return codec.UnmarshalStrict[Formation](b)
}
