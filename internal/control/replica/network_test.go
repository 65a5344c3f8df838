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

// link is one direction between two addresses.
type link struct{ from, to string }

// network carries encoded messages between replicas of one process; directions can be cut.
type network struct {
	// bytes counts all encoded messages, sent those by their senders.
	bytes atomic.Int64
	sent  map[string]int64
	mu    sync.Mutex
	nodes map[string]Replica
	cuts  map[link]bool
	// frozen holds the addresses whose replica stands still in the middle of a send, as a stopped process does.
	frozen map[string]chan struct{}
	// limits are how many more messages of a kind may pass a link.
	limits map[link]*limit
}

// limit lets some messages of one kind pass.
type limit struct {
	kind raft.MessageKind
	left int
}

func newNetwork() *network {
	return &network{nodes: map[string]Replica{}, cuts: map[link]bool{}, frozen: map[string]chan struct{}{}, limits: map[link]*limit{}, sent: map[string]int64{}}
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

// cut drops everything sent from one address to another until it is healed.
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

// limit lets only some more messages of one kind pass a link.
func (n *network) limit(from, to string, kind raft.MessageKind, left int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limits[link{from, to}] = &limit{kind: kind, left: left}
}

func (n *network) exhausted(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limits[link{from, to}].left < 0
}

// passes counts a message against the limit of its link.
func (n *network) passes(from, to string, kind raft.MessageKind) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.limits[link{from, to}]
	if !ok || l.kind != kind {
		return true
	}
	l.left--
	return l.left >= 0
}

func (n *network) freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[address] = make(chan struct{})
}

func (n *network) thaw(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if thawed, ok := n.frozen[address]; ok {
		close(thawed)
		delete(n.frozen, address)
	}
}

// stand blocks while the replica at address is frozen.
func (n *network) stand(address string) {
	n.mu.Lock()
	thawed := n.frozen[address]
	n.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

func (n *network) reach(from, to string) Replica {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[link{from, to}] {
		return nil
	}
	return n.nodes[to]
}

// count adds to what the replica at address has sent.
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

// port is a replica's Transport.
type port struct {
	network *network
	address string
}

func (p port) Send(address string, m raft.Message) {
	p.network.stand(p.address)
	r := p.network.reach(p.address, address)
	if r == nil || !p.network.passes(p.address, address, m.Kind) {
		return
	}
	b, err := codec.Marshal(m)
	if err != nil {
		panic(err)
	}
	p.network.count(p.address, len(b))
	decoded, err := codec.UnmarshalStrict[raft.Message](b)
	if err != nil {
		panic(err)
	}
	r.Receive(decoded)
}

func (p port) Probe(_ context.Context, address string) (Formation, error) {
	r := p.network.reach(p.address, address)
	if r == nil || p.network.reach(address, p.address) == nil {
		return Formation{}, errUnreachable
	}
	b, err := codec.Marshal(r.Formation())
	if err != nil {
		return Formation{}, err
	}
	return codec.UnmarshalStrict[Formation](b)
}
