package raft_test

import (
	"testing"

	"hornbeamwood/internal/control/raft"
)

// A snapshot message is delayed. Meanwhile the follower received the entries
// after the snapshot from the log and acknowledged them. Installing the snapshot
// would drop them, and with them an edit that was committed by counting this disk.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	c := replicaA(1, trio(), nil)
	c.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: 1, Entries: commands(1, 1, 1, 1, 1), Commit: 2}))
	flush(c)
	meta := raft.SnapshotMeta{Index: 3, Term: 1, Configuration: trio()}.WithData([]byte("x"))
	c.Step(from("b", raft.Message{Kind: raft.MessageSnapshot, Term: 1, Snapshot: &meta, Data: []byte("x")}))
	if e := flush(c); e.Install != nil {
		t.Error("the late snapshot was installed")
	}
	if s := c.Status(); s.Last != 5 || s.Commit != 3 {
		t.Errorf("last %d, commit %d", s.Last, s.Commit)
	}
}

// A learner restarts during a snapshot transfer and receives a delayed duplicate
// of the first chunk. It requests the second chunk while the leader sends a later
// one. If the leader ignored its responses as outdated, the learner would never
// catch up and never become a voter.
func TestSnapshotGoesOnAfterTheReceiverRestarts(t *testing.T) {
	c := replicaA(1, trio(), commands(1, 1, 1))
	term := elect(t, c)
	acknowledge(c, "b", term, 4)
	flush(c)
	meta := raft.SnapshotMeta{Index: 4, Term: term, Configuration: trio()}.WithData(make([]byte, 100))
	c.Compact(meta, 0)
	c.Step(from("l", raft.Message{Kind: raft.MessageAppendResponse, Term: term, Reject: true, Index: 3}))
	for offset := uint64(10); offset <= 50; offset += 10 {
		c.Step(from("l", raft.Message{Kind: raft.MessageSnapshotResponse, Term: term, Index: 4, Offset: offset}))
	}
	flush(c)
	for range 40 {
		c.Tick()
		for _, m := range flush(c).Early {
			if m.To != "l" {
				continue
			}
			if m.Kind == raft.MessageSnapshot && m.Offset == 10 {
				return
			}
			c.Step(from("b", raft.Message{Kind: raft.MessageHeartbeatResponse, Term: term}))
			c.Step(from("l", raft.Message{Kind: raft.MessageHeartbeatResponse, Term: term}))
			if m.Kind == raft.MessageSnapshot {
				c.Step(from("l", raft.Message{Kind: raft.MessageSnapshotResponse, Term: term, Index: 4, Offset: 10}))
			}
		}
	}
	t.Fatal("the missing chunk was never sent to the learner")
}
