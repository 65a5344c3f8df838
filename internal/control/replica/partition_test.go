package replica

import (
	"context"
	"testing"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// callTimeout is many election timeouts of the test clusters, which are 10 to 20 ticks of 5 ms each.
const callTimeout = time.Second

// isolate cuts the links between n and all other nodes, in the given directions.
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

// checkRejects checks that n neither confirms a read nor accepts a command.
func (c *cluster) checkRejects(n *node) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if index, err := n.replica.ReadIndex(ctx); err == nil {
		c.t.Errorf("%s confirmed a read at %d without a quorum", n.name, index)
	}
	if a, err := n.replica.Propose(ctx, []byte("lost")); err == nil || verdict.Of(err) == verdict.Ran {
		c.t.Errorf("%s accepted a command without a quorum: %+v, %v", n.name, a, err)
	}
}

// A partition isolates the leader in both directions for many election timeouts.
// Operators at the old leader must neither read stale settings nor have an edit
// accepted that the others never receive. When the partition heals, the working
// leader must stay the leader.
func TestLeaderCutOffAndBack(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit("one")
	old := c.waitForLeader()
	rest := c.others(old)
	c.isolate(old, true, true)
	c.checkRejects(old)
	c.commit("two", rest...)
	c.checkRejects(old)
	c.checkReturn(old)
}

// startCalls starts a read and an edit at r and returns the channels of their errors.
func startCalls(ctx context.Context, r Replica) (read, edit <-chan error) {
	reads, edits := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := r.ReadIndex(ctx)
		reads <- err
	}()
	go func() {
		_, err := r.Propose(ctx, []byte("lost"))
		edits <- err
	}()
	return reads, edits
}

// The leader's VM is suspended by its host for many election timeouts and then
// resumes; messages that arrived meanwhile overflowed its buffers. It is still in
// the leader role. An operator who calls it at this moment must neither get stale
// settings nor have an edit accepted, and the leader that was elected meanwhile
// must stay the leader.
//
// The test uses the default tick. With the 5 ms tick of the other tests a single
// sync of 150 ms starts a new term without any suspension, see
// TestSlowSyncKeepsTheLeader.
func TestSuspendedLeaderGoesOn(t *testing.T) {
	c := newCluster(t, 3, func(g *Config) { g.Tick = defaultTick })
	c.commit("one")
	old := c.waitForLeader()
	rest := c.others(old)
	c.network.suspend(old.address)
	c.isolate(old, true, false)
	c.commit("two", rest...)
	leader := c.waitForLeader(rest...)
	term := leader.replica.Status().Term
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	read, edit := startCalls(ctx, old.replica)
	c.waitUntil("both calls to be queued", func() bool {
		r := old.replica.(*replica)
		return len(r.reads) == 1 && len(r.proposals) == 1
	})
	c.network.resume(old.address)
	if err := <-read; err == nil {
		t.Error("the resumed leader confirmed a read")
	}
	if err := <-edit; err == nil {
		t.Error("the resumed leader accepted an edit")
	}
	c.network.heal()
	c.commit("three", rest...)
	c.waitForState("one two three", c.nodes...)
	if s := leader.replica.Status(); s.Term != term || s.Role != "leader" {
		t.Errorf("the resumed replica changed term %d to %d, role %s", term, s.Term, s.Role)
	}
}

// Links fail in one direction only: the leader still reaches the others but
// receives nothing, so that they do not start an election. Operators would wait
// forever for edits that can't commit. The leader must step down, and its return
// must not depose the next leader.
func TestLeaderThatReceivesNothingStepsDown(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit("one")
	old := c.waitForLeader()
	rest := c.others(old)
	c.isolate(old, true, false)
	c.checkRejects(old)
	c.commit("two", rest...)
	c.checkRejects(old)
	c.checkReturn(old)
}

// Links fail in the other direction: the leader receives everything, but none of
// its messages arrive.
func TestLeaderThatReachesNobodyIsReplaced(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit("one")
	old := c.waitForLeader()
	rest := c.others(old)
	c.isolate(old, false, true)
	c.checkRejects(old)
	c.commit("two", rest...)
	c.checkRejects(old)
	c.checkReturn(old)
}

// checkReturn heals the links and checks that the working leader keeps its term.
func (c *cluster) checkReturn(old *node) {
	c.t.Helper()
	leader := c.waitForLeader(c.others(old)...)
	term := leader.replica.Status().Term
	c.network.heal()
	c.waitForState("one two", c.nodes...)
	c.waitUntil("the old leader to follow the new one", func() bool { return old.replica.Status().Leader == leader.name })
	if s := leader.replica.Status(); s.Term != term || s.Role != "leader" {
		c.t.Errorf("the return of a replica changed term %d to %d, role %s", term, s.Term, s.Role)
	}
}

// A follower is isolated for many election timeouts and campaigns all the time.
// If its term increased, its return would depose the leader, and operators' edits
// would be rejected during an election each time the link fails. That the leader
// keeps its role is tested in package raft, where no clock can take it away.
func TestFollowerCutOffDoesNotMoveTheTerm(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit("one")
	c.waitForState("one", c.nodes...)
	leader := c.waitForLeader()
	follower := c.others(leader)[0]
	c.isolate(follower, true, true)
	term := follower.replica.Status().Term
	campaigns := 0
	c.waitUntil("many campaigns", func() bool {
		if s := follower.replica.Status(); s.Role == "pre-candidate" || s.Role == "candidate" {
			campaigns++
		}
		return campaigns > 100
	})
	if s := follower.replica.Status(); s.Term != term {
		t.Errorf("term %d became %d while the follower was isolated", term, s.Term)
	}
	c.commit("two", c.others(follower)...)
	c.network.heal()
	c.waitForState("one two", c.nodes...)
}
