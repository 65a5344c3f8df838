package replica

import (
	"context"
	"testing"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// silence is many election timeouts of the tests' clusters: 10 to 20 ticks of 5 ms each.
const silence = time.Second

// isolate cuts n off from all others, in the given directions.
func (c *cluster) isolate(n *node, in, out bool) {
	for _, o := range c.others(n) {
		if in {
			c.network.cut(o.address, n.address)
		}
		if out {
			c.network.cut(n.address, o.address)
		}
	}
}

// refuses checks that n neither confirms a read nor accepts a command.
func (c *cluster) refuses(n *node) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), silence)
	defer cancel()
	if index, err := n.replica.ReadIndex(ctx); err == nil {
		c.t.Errorf("%s confirmed a read at %d without a quorum", n.name, index)
	}
	if a, err := n.replica.Propose(ctx, []byte("lost")); err == nil || verdict.Of(err) == verdict.Ran {
		c.t.Errorf("%s accepted a command without a quorum: %+v, %v", n.name, a, err)
	}
}

// A silent partition cuts the leading VM off in both directions, for many
// election timeouts. Operators at the old leader must neither read old
// settings as fresh nor have an edit accepted that the others never see, and
// when the partition ends the working leader must stay.
func TestLeaderCutOffAndBack(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.write("one")
	old := c.leader()
	rest := c.others(old)
	c.isolate(old, true, true)
	c.refuses(old)
	c.write("two", rest...)
	c.refuses(old)
	leader := c.leader(rest...)
	term := leader.replica.Status().Term
	c.network.heal()
	c.agree("one two", c.nodes...)
	c.until("the old leader follows", func() bool { return old.replica.Status().Leader == leader.name })
	if s := leader.replica.Status(); s.Term != term || s.Role != "leader" {
		t.Errorf("the return of a replica moved term %d to %d, role %s", term, s.Term, s.Role)
	}
}
