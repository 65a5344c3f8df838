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

// Three VMs start with empty disks, an operator's edits are accepted, and the
// VM that leads dies; the operator would see edits refused for ever, or the
// accepted ones gone, if the others did not take over with all of them.
func TestLeaderLostKeepsAcceptedCommands(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.write("one")
	c.write("two")
	lost := c.leader()
	c.kill(lost)
	rest := c.others(lost)
	c.write("three", rest...)
	c.agree("one two three", rest...)
	c.start(lost)
	c.agree("one two three", lost)
}

// A VM was down while hundreds of edits passed and the log behind it is gone
// from the others' disks; it must come back to the whole state from a
// snapshot, and after its own restart too.
func TestCatchesUpBySnapshot(t *testing.T) {
	c := newCluster(t, 3, func(c *Config) { c.SnapshotEntries = 50 })
	c.write("0")
	down := c.others(c.leader())[0]
	c.kill(down)
	rest := c.others(down)
	words := []string{"0"}
	for i := range 1300 {
		words = append(words, fmt.Sprint(i+1))
		c.write(words[i+1], rest...)
	}
	c.start(down)
	c.agree(strings.Join(words, " "), c.nodes...)
	if down.replica.Status().Snapshot == 0 {
		t.Error("the replica caught up without a snapshot")
	}
	c.kill(down)
	c.start(down)
	c.agree(strings.Join(words, " "), down)
	c.until("caught up", func() bool { return down.replica.Status().CaughtUp })
}

// Guards against entries that know the seeds alone finding no other replica until a leader is heard.
func TestReplicaNamesTheOthersBeforeALeaderIsHeard(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.write("one")
	leader, ctx := c.leader(), context.Background()
	joined := raft.Member{Name: "joined", Identity: "77", Address: "joined:1"}
	if err := leader.replica.AddLearner(ctx, joined); err != nil {
		t.Fatal(err)
	}
	c.write("two")
	c.agree("one two", c.nodes...)
	for _, n := range c.nodes {
		c.kill(n)
	}
	back := c.nodes[0]
	c.start(back)
	c.until("the addresses of all members are known", func() bool { return len(back.replica.Status().Addresses) == 4 })
	if s := back.replica.Status(); s.Leader != "" {
		t.Fatalf("leader %q", s.Leader)
	}
}

// An operator's program asks a replica that does not lead. It must learn whom
// to ask and be told truly that nothing was done, or it would send an edit a
// second time or give up one that could be sent elsewhere.
func TestFollowerNamesTheLeader(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.write("one")
	leader := c.leader()
	follower := c.others(leader)[0]
	c.until("the follower knows the leader", func() bool { return follower.replica.Status().Leader == leader.name })
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

// A planned stop of the leader must not leave the group without one for an
// election timeout, and nothing that was accepted may be missing.
func TestStopHandsLeadershipOver(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.write("one")
	leader := c.leader()
	index, err := leader.replica.ReadIndex(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if err := leader.replica.WaitApplied(context.Background(), index); err != nil {
		t.Fatal(err)
	}
	if got := leader.book.text(); got != "one" {
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
	c.write("two", rest...)
	c.agree("one two", rest...)
}
