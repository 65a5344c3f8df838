package replica

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/faultfile"
	"hornbeamwood/internal/control/raft"
)

// replace gives n an empty disk under its old name and address.
func (c *cluster) replace(n *node) {
	c.kill(n)
	n.folder = c.t.TempDir()
	c.start(n)
}

// member returns n as the others must admit it.
func (n *node) member() raft.Member {
	return raft.Member{Name: n.name, Identity: n.replica.Formation().Identity, Address: n.address}
}

// try repeats an operator's call at the leader until it is done.
func (c *cluster) try(what string, among []*node, call func(Replica) error) {
	c.t.Helper()
	c.until(what, func() bool { return call(c.leader(among...).replica) == nil })
}

// admit does what an operator does after a disk was lost.
func (c *cluster) admit(n *node, old raft.Identity, among []*node) {
	c.t.Helper()
	ctx := context.Background()
	m := n.member()
	c.try("learner", among, func(r Replica) error { return r.AddLearner(ctx, m) })
	c.try("removal", among, func(r Replica) error { return r.Remove(ctx, old) })
	c.try("promotion", among, func(r Replica) error { return r.Promote(ctx, m.Identity) })
}

// A VM loses its disk and comes back empty under its old name and address,
// while another one is down. With its empty log it must not help to elect a
// leader that lacks accepted edits; the operator sees no leader until one of
// the two is repaired, and then everything.
func TestReplacedDiskDoesNotVote(t *testing.T) {
	c := newCluster(t, 3, nil)
	behind := c.others(c.leader())[0]
	c.write("one")
	c.agree("one", c.nodes...)
	c.kill(behind)
	rest := c.others(behind)
	c.write("two", rest...)
	c.agree("one two", rest...)
	lost, last := rest[0], rest[1]
	c.replace(lost)
	c.until("the new disk is known as blank", func() bool { return lost.replica.Status().Role == RoleBlank })
	c.kill(last)
	c.start(behind)
	campaigns := 0
	c.until("campaigns without a quorum", func() bool {
		s := behind.replica.Status()
		if s.Role == "leader" {
			t.Fatalf("a replica without an accepted edit leads: %+v", s)
		}
		if s.Role == "pre-candidate" {
			campaigns++
		}
		return campaigns > 100
	})
	if lost.replica.Formation().Formed {
		t.Error("the new disk joined without being admitted")
	}
	c.start(last)
	c.write("three", behind, last)
	c.agree("one two three", behind, last)
}

// A VM is replaced, the operator admits the new disk, and at once a second VM
// is lost for good. Every accepted edit must still be there, on the new disk
// too, and the group must go on.
func TestSecondLossRightAfterRepair(t *testing.T) {
	c := newCluster(t, 3, func(c *Config) { c.SnapshotEntries = 8 })
	for _, word := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		c.write(word)
	}
	c.agree("a b c d e f g h i j", c.nodes...)
	first := c.others(c.leader())[0]
	rest := c.others(first)
	old := first.replica.Formation().Identity
	c.replace(first)
	c.admit(first, old, rest)
	c.write("k", rest...)
	second := c.leader(rest...)
	c.kill(second)
	left := c.others(second)
	c.write("l", left...)
	c.agree("a b c d e f g h i j k l", left...)
	oldSecond := second.replica.Formation().Identity
	c.replace(second)
	c.admit(second, oldSecond, left)
	c.agree("a b c d e f g h i j k l", c.nodes...)
	c.until("three voters", func() bool { return len(c.leader().replica.Status().Members) == 3 })
}

// An operator promotes a learner that has not got the log yet. Counted as a
// voter it could leave accepted edits on one disk only; the call is refused
// with the reason, and nothing changes.
func TestPromotionWaitsForTheLog(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.write("one")
	leader := c.leader()
	unknown := raft.Member{Name: "control-9", Identity: "none", Address: "10.0.0.9:7000"}
	if err := leader.replica.AddLearner(context.Background(), unknown); err != nil {
		t.Fatal(err)
	}
	err := leader.replica.Promote(context.Background(), unknown.Identity)
	if !errors.Is(err, raft.ErrNotCaughtUp) {
		t.Errorf("got %v", err)
	}
	if err := leader.replica.Remove(context.Background(), unknown.Identity); err != nil {
		t.Error(err)
	}
	if err := leader.replica.Remove(context.Background(), "nobody"); !errors.Is(err, raft.ErrUnknownMember) {
		t.Errorf("got %v", err)
	}
}

// The leading VM's disk fails a sync, or is full. The replica must end with an
// error that names the file, and the others go on with all that was accepted;
// a caller must not take the command in flight for refused.
func TestFailingDiskEndsTheReplica(t *testing.T) {
	for _, cause := range []error{syscall.EIO, syscall.ENOSPC} {
		folders := map[string]*faultfile.Folder{}
		c := newCluster(t, 3, func(c *Config) {
			folders[c.Name] = faultfile.New()
			c.Files = folders[c.Name]
		})
		c.write("one")
		leader := c.leader()
		folders[leader.name].SetFault(func(o faultfile.Operation, _ string) error {
			if o == faultfile.Sync && cause == syscall.EIO || o == faultfile.Write && cause == syscall.ENOSPC {
				return cause
			}
			return nil
		})
		if _, err := leader.replica.Propose(context.Background(), []byte("unsure")); err == nil {
			t.Error("a command was accepted on a failed disk")
		}
		c.until("the replica ends", func() bool {
			select {
			case <-leader.replica.Done():
				return true
			default:
				return false
			}
		})
		if err := leader.replica.Err(); !errors.Is(err, cause) {
			t.Errorf("got %v", err)
		}
		c.network.detach(leader.address)
		c.write("two", c.others(leader)...)
		for _, n := range c.others(leader) {
			c.until("the others agree", func() bool {
				text := n.book.text()
				return text == "one two" || text == "one unsure two"
			})
		}
	}
}

// The leading VM's disk runs full slowly. Commands must be refused truly and
// with the reason while there is still room, reads go on, and with room made
// commands are accepted again without a restart.
func TestLowDiskRefusesCommands(t *testing.T) {
	folders := map[string]*faultfile.Folder{}
	c := newCluster(t, 3, func(c *Config) {
		folders[c.Name] = faultfile.New()
		c.Files = folders[c.Name]
	})
	c.write("one")
	for _, f := range folders {
		f.SetFree(reserveBytes - 1)
	}
	ctx := context.Background()
	c.until("a refusal", func() bool {
		_, err := c.leader().replica.Propose(ctx, []byte("more"))
		e, ok := verdict.As(err)
		return ok && e.Code == CodeDiskLow && e.Verdict == verdict.NotRun
	})
	c.until("a read", func() bool {
		_, err := c.leader().replica.ReadIndex(ctx)
		return err == nil
	})
	for _, f := range folders {
		f.SetFree(reserveBytes)
	}
	c.write("two")
}

// The VM that sends a snapshot is lost when half of it has arrived. The
// receiver must not use the half, and gets a whole one from the next leader.
func TestSnapshotCutHalfWay(t *testing.T) {
	c := newCluster(t, 3, func(c *Config) {
		c.SnapshotEntries = 4
		c.KeepEntries = 1
		c.ChunkBytes = 64
	})
	behind := c.others(c.leader())[0]
	c.write("first")
	c.kill(behind)
	rest := c.others(behind)
	text := "first"
	for i := range 30 {
		word := fmt.Sprintf("a-rather-long-word-for-a-rather-long-snapshot-%d", i)
		c.write(word, rest...)
		text += " " + word
	}
	c.agree(text, rest...)
	sender := c.leader(rest...)
	c.network.limit(sender.address, behind.address, raft.MessageSnapshot, 5)
	c.start(behind)
	c.until("half a snapshot", func() bool { return c.network.exhausted(sender.address, behind.address) })
	if got := behind.book.text(); got != "" && got != "first" {
		t.Errorf("half a snapshot gave %.60q", got)
	}
	c.kill(sender)
	c.agree(text, c.others(sender)...)
	c.kill(behind)
	c.start(behind)
	c.write("last", c.others(sender)...)
	c.agree(text+" last", c.others(sender)...)
}

// An operator starts a replica on the folder of another one, or on a damaged
// one: it must not start, and say which file and what to do.
func TestBadFolderIsRefused(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.write("one")
	n := c.others(c.leader())[0]
	config := c.config(n)
	if _, err := New(config); err == nil {
		t.Error("a second replica opened the folder of a live one")
	}
	c.kill(n)
	config.Name, config.Seeds = "control-9", nil
	if _, err := New(config); err == nil {
		t.Error("a replica opened the folder of another one")
	}
	config = c.config(n)
	files, err := disk.NewFolder(n.folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := files.Remove("identity"); err != nil {
		t.Fatal(err)
	}
	var damage *disk.Corruption
	if _, err := New(config); !errors.As(err, &damage) {
		t.Errorf("got %v", err)
	}
	n.folder = t.TempDir()
	c.start(n)
}
