package replica

import (
	"context"
	"fmt"
	"testing"

	"hornbeamwood/internal/control/raft"
)

// groupTransport sends through a transport that several logs share: each log's
// replica on a VM has its own address, derived from the VM's address.
type groupTransport struct {
	transport testTransport
	group     uint32
}

func groupAddress(address string, group uint32) string {
	return fmt.Sprintf("%s/%d", address, group)
}

func (g groupTransport) Send(address string, m raft.Message) {
	g.transport.Send(groupAddress(address, m.Group), m)
}

func (g groupTransport) Probe(ctx context.Context, address string) (Formation, error) {
	return g.transport.Probe(ctx, groupAddress(address, g.group))
}

// Two logs share three VMs and their addresses. A command of one must never
// appear in the other, and the loss of one group's leader must not affect the
// other group.
func TestGroupsShareATransport(t *testing.T) {
	n := newNetwork()
	seeds := founders
	groups := map[uint32][]*node{}
	clusters := map[uint32]*cluster{}
	for _, group := range []uint32{1, 2} {
		c := &cluster{t: t, network: n, seeds: seeds}
		c.adjust = func(c *Config) {
			c.Group = group
			c.Transport = groupTransport{testTransport{n, groupAddress(c.Address, group)}, group}
		}
		for _, s := range seeds {
			o := &node{name: s.Name, address: s.Address, folder: t.TempDir()}
			c.start(o)
			n.attach(groupAddress(s.Address, group), o.replica)
			groups[group] = append(groups[group], o)
		}
		c.nodes = groups[group]
		clusters[group] = c
		t.Cleanup(func() {
			for _, o := range c.nodes {
				n.detach(groupAddress(o.address, group))
				c.kill(o)
			}
		})
	}
	clusters[1].commit("settings")
	clusters[2].commit("claim")
	lost := clusters[1].waitForLeader()
	n.detach(groupAddress(lost.address, 1))
	clusters[1].kill(lost)
	clusters[1].commit("more", clusters[1].others(lost)...)
	clusters[2].commit("outcome")
	clusters[1].waitForState("settings more", clusters[1].others(lost)...)
	clusters[2].waitForState("claim outcome", clusters[2].nodes...)
}
