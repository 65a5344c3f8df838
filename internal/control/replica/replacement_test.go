package replica

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/faultfile"
	"hornbeamwood/internal/control/raft"
)

// replace restarts n with an empty disk under its old name and address.
func (c *cluster) replace(n *node) {
	c.kill(n)
	n.folder = c.t.TempDir()
	c.start(n)
}

// member returns n with its current identity.
func (n *node) member() raft.Member {
	return raft.Member{Name: n.name, Identity: n.replica.Formation().Identity, Address: n.address}
}

// retry retries an operator's call at the leader until it succeeds.
func (c *cluster) retry(what string, among []*node, call func(Replica) error) {
	c.t.Helper()
	c.waitUntil(what, func() bool { return call(c.waitForLeader(among...).replica) == nil })
}

// replaceMember replaces the old identity with n's current one, as an operator does after a disk loss.
func (c *cluster) replaceMember(n *node, old raft.Identity, among []*node) {
	c.t.Helper()
	ctx := context.Background()
	m := n.member()
	c.retry("learner", among, func(r Replica) error { return r.AddLearner(ctx, m) })
	c.retry("removal", among, func(r Replica) error { return r.Remove(ctx, old) })
	c.retry("promotion", among, func(r Replica) error { return r.Promote(ctx, m.Identity) })
}

// A VM loses its disk and restarts empty under its old name and address, while
// another one is down. With its empty log it must not vote for a leader that lacks
// accepted edits. The group has no leader until one of the two is repaired, and
// then it must have all edits.
func TestReplacedDiskDoesNotVote(t *testing.T) {
	c := newCluster(t, 3, nil)
	behind := c.others(c.waitForLeader())[0]
	c.commit("one")
	c.waitForState("one", c.nodes...)
	c.kill(behind)
	rest := c.others(behind)
	c.commit("two", rest...)
	c.waitForState("one two", rest...)
	lost, last := rest[0], rest[1]
	c.replace(lost)
	c.waitUntil("the new disk to be blank", func() bool { return lost.replica.Status().Role == RoleBlank })
	c.kill(last)
	c.start(behind)
	campaigns := 0
	c.waitUntil("campaigns without a quorum", func() bool {
		s := behind.replica.Status()
		if s.Role == "leader" {
			t.Fatalf("a replica that lacks an accepted edit is the leader: %+v", s)
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
	c.commit("three", behind, last)
	c.waitForState("one two three", behind, last)
}

// A VM is replaced, the operator admits the new disk, and immediately afterwards a
// second VM is lost for good. Every accepted edit must be preserved, on the new
// disk too, and the group must stay available.
func TestSecondLossRightAfterRepair(t *testing.T) {
	c := newCluster(t, 3, func(c *Config) { c.SnapshotEntries = 8 })
	for _, word := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		c.commit(word)
	}
	c.waitForState("a b c d e f g h i j", c.nodes...)
	first := c.others(c.waitForLeader())[0]
	rest := c.others(first)
	old := first.replica.Formation().Identity
	c.replace(first)
	c.replaceMember(first, old, rest)
	c.commit("k", rest...)
	second := c.waitForLeader(rest...)
	c.kill(second)
	left := c.others(second)
	c.commit("l", left...)
	c.waitForState("a b c d e f g h i j k l", left...)
	oldSecond := second.replica.Formation().Identity
	c.replace(second)
	c.replaceMember(second, oldSecond, left)
	c.waitForState("a b c d e f g h i j k l", c.nodes...)
	c.waitUntil("three voters", func() bool { return len(c.waitForLeader().replica.Status().Members) == 3 })
}

// An operator promotes a learner that lacks the log. If it counted as a voter,
// accepted edits could be on one disk only. The call must be rejected with the
// reason and change nothing.
func TestPromotionWaitsForTheLog(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit("one")
	leader := c.waitForLeader()
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

// The leader's disk fails a sync, or is full. The replica must stop with an error
// that names the file, and the others must continue with all accepted commands.
// The outcome of the command in flight must not be reported as rejected.
func TestFailingDiskEndsTheReplica(t *testing.T) {
	for _, cause := range []error{syscall.EIO, syscall.ENOSPC} {
		folders := map[string]*faultfile.Folder{}
		c := newCluster(t, 3, func(c *Config) {
			folders[c.Name] = faultfile.New()
			c.Files = folders[c.Name]
		})
		c.commit("one")
		leader := c.waitForLeader()
		folders[leader.name].SetFault(func(o faultfile.Operation, _ string) error {
			if o == faultfile.Sync && cause == syscall.EIO || o == faultfile.Write && cause == syscall.ENOSPC {
				return cause
			}
			return nil
		})
		if _, err := leader.replica.Propose(context.Background(), []byte("unsure")); err == nil {
			t.Error("a command was accepted on a failed disk")
		}
		c.waitUntil("the replica to stop", func() bool {
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
		c.commit("two", c.others(leader)...)
		for _, n := range c.others(leader) {
			c.waitUntil("the others to have the same state", func() bool {
				text := n.recorder.joined()
				return text == "one two" || text == "one unsure two"
			})
		}
	}
}

// The leader's disk slowly becomes full. While there is still free space, commands
// must be rejected as not run and with the reason, and reads must work. Once space
// is freed, commands must be accepted again without a restart.
func TestLowDiskRefusesCommands(t *testing.T) {
	folders := map[string]*faultfile.Folder{}
	c := newCluster(t, 3, func(c *Config) {
		folders[c.Name] = faultfile.New()
		c.Files = folders[c.Name]
	})
	c.commit("one")
	for _, f := range folders {
		f.SetFree(minFreeBytes - 1)
	}
	ctx := context.Background()
	c.waitUntil("a rejected command", func() bool {
		_, err := c.waitForLeader().replica.Propose(ctx, []byte("more"))
		e, ok := verdict.As(err)
		return ok && e.Code == CodeDiskLow && e.Verdict == verdict.NotRun
	})
	c.waitUntil("a read", func() bool {
		_, err := c.waitForLeader().replica.ReadIndex(ctx)
		return err == nil
	})
	for _, f := range folders {
		f.SetFree(minFreeBytes)
	}
	c.commit("two")
}

// The VM that sends a snapshot is lost during the transfer. The receiver must not
// use the incomplete snapshot and must receive a complete one from the next leader.
func TestSnapshotTransferInterrupted(t *testing.T) {
	c := newCluster(t, 3, func(c *Config) {
		c.SnapshotEntries = 4
		c.KeepEntries = 1
		c.ChunkBytes = 64
	})
	behind := c.others(c.waitForLeader())[0]
	c.commit("first")
	c.kill(behind)
	rest := c.others(behind)
	text := "first"
	for i := range 30 {
		word := fmt.Sprintf("a-rather-long-word-for-a-rather-long-snapshot-%d", i)
		c.commit(word, rest...)
		text += " " + word
	}
	c.waitForState(text, rest...)
	sender := c.waitForLeader(rest...)
	c.network.limit(sender.address, behind.address, raft.MessageSnapshot, 5)
	c.start(behind)
	c.waitUntil("part of a snapshot", func() bool { return c.network.exhausted(sender.address, behind.address) })
	if got := behind.recorder.joined(); got != "" && got != "first" {
		t.Errorf("an incomplete snapshot was restored: %.60q", got)
	}
	c.kill(sender)
	c.waitForState(text, c.others(sender)...)
	c.kill(behind)
	c.start(behind)
	c.commit("last", c.others(sender)...)
	c.waitForState(text+" last", c.others(sender)...)
}

// An operator starts a replica on another replica's folder, or on a corrupt one.
// It must not start, and the error must say which file is affected and what to do.
func TestBadFolderIsRefused(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit("one")
	n := c.others(c.waitForLeader())[0]
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

// Guards against a replica that ends again and again because its folder is damaged, and against one that votes by
// such a folder: it must be as one that lost its disk, and keep the files.
func TestReplicaWithDamagedFolderIsReplaced(t *testing.T) {
	c := newCluster(t, 3, func(c *Config) { c.ReplaceDamaged = true })
	c.commit("one")
	c.waitForState("one", c.nodes...)
	damaged := c.others(c.waitForLeader())[0]
	rest := c.others(damaged)
	old := damaged.replica.Formation().Identity
	c.kill(damaged)
	flipLastBit(t, filepath.Join(damaged.folder, "log-0000000000000001"))
	c.commit("two", rest...)
	c.start(damaged)
	c.waitUntil("the damaged replica to be blank", func() bool { return damaged.replica.Status().Role == RoleBlank })
	if f := damaged.replica.Formation(); f.Formed || f.Identity == old {
		t.Errorf("the replica belongs to the group by its damaged folder: %+v", f)
	}
	if _, err := os.Stat(filepath.Join(damaged.folder, "damaged-log-0000000000000001")); err != nil {
		t.Error(err)
	}
	c.replaceMember(damaged, old, rest)
	c.commit("three")
	c.waitForState("one two three", c.nodes...)
}

// Guards against a second group that replicas with damaged folders found without the first one's log.
func TestReplicasWithDamagedFoldersFoundNoGroup(t *testing.T) {
	c := newCluster(t, 3, func(c *Config) { c.ReplaceDamaged = true })
	c.commit("one")
	c.waitForState("one", c.nodes...)
	for _, n := range c.nodes {
		c.kill(n)
		flipLastBit(t, filepath.Join(n.folder, "log-0000000000000001"))
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	time.Sleep(20 * probeTicks * 5 * time.Millisecond)
	for _, n := range c.nodes {
		if f := n.replica.Formation(); f.Formed {
			t.Errorf("%s has founded a group: %+v", n.name, f)
		}
	}
}

func flipLastBit(t *testing.T, path string) {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b[len(b)-1] ^= 1
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}
