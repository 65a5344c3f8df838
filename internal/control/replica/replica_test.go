package replica

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/raft"
)

// Three VMs start with empty disks, edits are accepted, and the leader is lost.
// If the others did not elect a leader that has all accepted edits, further edits
// would be rejected forever, or the accepted ones would be lost.
func TestLeaderLostKeepsAcceptedCommands(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit("one")
	c.commit("two")
	lost := c.waitForLeader()
	c.kill(lost)
	rest := c.others(lost)
	c.commit("three", rest...)
	c.waitForState("one two three", rest...)
	c.start(lost)
	c.waitForState("one two three", lost)
}

// A VM was down while hundreds of edits were committed, and the entries that it
// lacks are compacted on the others. It must recover the whole state from a
// snapshot, and again after its own restart.
func TestCatchesUpBySnapshot(t *testing.T) {
	c := newCluster(t, 3, func(c *Config) { c.SnapshotEntries = 50 })
	c.commit("0")
	down := c.others(c.waitForLeader())[0]
	c.kill(down)
	rest := c.others(down)
	words := []string{"0"}
	for i := range 1300 {
		words = append(words, fmt.Sprint(i+1))
		c.commit(words[i+1], rest...)
	}
	c.start(down)
	c.waitForState(strings.Join(words, " "), c.nodes...)
	if down.replica.Status().Snapshot == 0 {
		t.Error("the replica caught up without a snapshot")
	}
	c.kill(down)
	c.start(down)
	c.waitForState(strings.Join(words, " "), down)
	c.waitUntil("the replica to catch up", func() bool { return down.replica.Status().CaughtUp })
}

// Guards against entries that know only the seeds and find no other replica until there is a leader.
func TestStatusListsMembersBeforeLeaderContact(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit("one")
	leader, ctx := c.waitForLeader(), context.Background()
	joined := raft.Member{Name: "joined", Identity: "77", Address: "joined:1"}
	if err := leader.replica.AddLearner(ctx, joined); err != nil {
		t.Fatal(err)
	}
	c.commit("two")
	c.waitForState("one two", c.nodes...)
	for _, n := range c.nodes {
		c.kill(n)
	}
	back := c.nodes[0]
	c.start(back)
	c.waitUntil("the addresses of all members", func() bool { return len(back.replica.Status().Addresses) == 4 })
	if s := back.replica.Status(); s.Leader != "" {
		t.Fatalf("leader %q", s.Leader)
	}
}

// A client calls a replica that is not the leader. The error must name the leader
// and report that the command did not run. Otherwise the client would submit an
// edit twice, or abandon one that it could submit to the leader.
func TestFollowerNamesTheLeader(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit("one")
	leader := c.waitForLeader()
	follower := c.others(leader)[0]
	c.waitUntil("the follower to know the leader", func() bool { return follower.replica.Status().Leader == leader.name })
	_, err := follower.replica.Propose(context.Background(), []byte("two"))
	var other NotLeaderError
	if !errors.As(err, &other) || other.Address != leader.address || other.Name != leader.name {
		t.Errorf("got %v", err)
	}
	if e, ok := verdict.As(err); !ok || e.Verdict != verdict.NotRun || e.Code != CodeNotLeader {
		t.Errorf("got %v", err)
	}
	if _, err := follower.replica.ReadIndex(context.Background()); !errors.As(err, &other) {
		t.Errorf("a follower confirmed a read: %v", err)
	}
}

// A planned stop of the leader must not leave the group without a leader for an
// election timeout, and no accepted command may be lost.
func TestStopTransfersLeadership(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit("one")
	leader := c.waitForLeader()
	index, err := leader.replica.ReadIndex(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if err := leader.replica.WaitApplied(context.Background(), index); err != nil {
		t.Fatal(err)
	}
	if got := leader.recorder.joined(); got != "one" {
		t.Errorf("read %q after a confirmed index", got)
	}
	if err := leader.replica.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	c.network.detach(leader.address)
	if _, err := leader.replica.Propose(context.Background(), []byte("late")); verdict.Of(err) != verdict.NotRun {
		t.Errorf("a stopped replica answered %v", err)
	}
	rest := c.others(leader)
	c.commit("two", rest...)
	c.waitForState("one two", rest...)
}
