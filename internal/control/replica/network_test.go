package replica

import (
	"context"
	"errors"
	"sync"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/raft"
)

var errUnreachable = errors.New("unreachable")

// link is one direction between two addresses.
type link struct{ from, to string }

// network carries encoded messages between replicas of one process; directions can be cut.
type network struct {
	mu    sync.Mutex
	nodes map[string]Replica
	cuts  map[link]bool
}

func newNetwork() *network {
	return &network{nodes: map[string]Replica{}, cuts: map[link]bool{}}
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

func (n *network) reach(from, to string) Replica {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[link{from, to}] {
		return nil
	}
	return n.nodes[to]
}

// port is a replica's Transport.
type port struct {
	network *network
	address string
}

func (p port) Send(address string, m raft.Message) {
	r := p.network.reach(p.address, address)
	if r == nil {
		return
	}
	b, err := codec.Marshal(m)
	if err != nil {
		panic(err)
	}
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
