package replica

import (
	"context"
	"fmt"
	"testing"

	"hornbeamwood/internal/control/raft"
)

// groupPort sends through a transport that carries several logs: each log's
// replica on a VM has its own place behind the VM's address.
type groupPort struct {
	port  port
	group uint32
}

func placeOf(address string, group uint32) string {
	return fmt.Sprintf("%s/%d", address, group)
}

func (g groupPort) Send(address string, m raft.Message) {
	g.port.Send(placeOf(address, m.Group), m)
}

func (g groupPort) Probe(ctx context.Context, address string) (Formation, error) {
	return g.port.Probe(ctx, placeOf(address, g.group))
}

// Two logs share three VMs and their addresses. A command of one must never
// show up in the other, and the loss of one group's leader leaves the other's
// alone.
func TestGroupsShareATransport(t *testing.T) {
	n := newNetwork()
	seeds := founders
	groups := map[uint32][]*node{}
	clusters := map[uint32]*cluster{}
	for _, group := range []uint32{1, 2} {
		c := &cluster{t: t, network: n, seeds: seeds}
		c.adjust = func(c *Config) {
			c.Group = group
			c.Transport = groupPort{port{n, placeOf(c.Address, group)}, group}
		}
		for _, s := range seeds {
			o := &node{name: s.Name, address: s.Address, folder: t.TempDir()}
			c.start(o)
			n.attach(placeOf(s.Address, group), o.replica)
			groups[group] = append(groups[group], o)
		}
		c.nodes = groups[group]
		clusters[group] = c
		t.Cleanup(func() {
			for _, o := range c.nodes {
				n.detach(placeOf(o.address, group))
				c.kill(o)
			}
		})
	}
	clusters[1].write("settings")
	clusters[2].write("claim")
	lost := clusters[1].leader()
	n.detach(placeOf(lost.address, 1))
	clusters[1].kill(lost)
	clusters[1].write("more", clusters[1].others(lost)...)
	clusters[2].write("outcome")
	clusters[1].agree("settings more", clusters[1].others(lost)...)
	clusters[2].agree("claim outcome", clusters[2].nodes...)
}
