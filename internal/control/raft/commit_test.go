package raft_test

import (
	"testing"

	"hornbeamwood/internal/control/raft"
)

// An entry of an earlier term is on a majority of disks. A replica that lacks it
// may still be elected and overwrite it, so committing it by counting replicas
// would lose an accepted command.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	c := replicaA(3, trio(), commands(1, 2))
	term := elect(t, c)
	acknowledge(c, "b", term, 2)
	if got := c.Status().Commit; got != 0 {
		t.Fatalf("commit %d by counting entries of earlier terms", got)
	}
	acknowledge(c, "b", term, 3)
	if got := c.Status().Commit; got != 3 {
		t.Errorf("commit %d after the leader's own entry", got)
	}
}

// The leader's disk is slower than the others'. If it counted itself before its
// own sync, it would commit an edit that is on one disk only, and the other two
// could elect a leader without it.
func TestLeaderCountsItselfAfterItsSync(t *testing.T) {
	c := replicaA(1, trio(), nil)
	term := elect(t, c)
	acknowledge(c, "b", term, 1)
	flush(c)
	if _, _, err := c.Propose([][]byte{edit(0, 1)}); err != nil {
		t.Fatal(err)
	}
	_ = c.Effects()
	acknowledge(c, "b", term, 2)
	if got := c.Status().Commit; got != 1 {
		t.Fatalf("commit %d while the leader's own entry is not synced", got)
	}
	c.Persisted()
	if got := c.Status().Commit; got != 2 {
		t.Errorf("commit %d after the sync", got)
	}
}

// A peer sends entries with a gap, or a heartbeat with a commit index beyond this
// replica's log. Neither may change the log or the commit index.
func TestMalformedAppendIsIgnored(t *testing.T) {
	c := replicaA(1, trio(), nil)
	c.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: 1, Entries: []raft.Entry{{Index: 2, Term: 1}}, Commit: 2}))
	c.Step(from("b", raft.Message{Kind: raft.MessageHeartbeat, Term: 1, Commit: 7}))
	c.Step(from("b", raft.Message{Kind: raft.MessageSnapshot, Term: 1}))
	c.Step(from("b", raft.Message{Kind: 99, Term: 1}))
	flush(c)
	if s := c.Status(); s.Last != 0 || s.Commit != 0 {
		t.Errorf("last %d, commit %d", s.Last, s.Commit)
	}
}

// A new leader does not know yet what its predecessors committed. A read
// confirmed before its own first entry is committed could miss an accepted edit.
func TestReadWaitsForTheLeadersFirstEntry(t *testing.T) {
	c := replicaA(1, trio(), commands(1))
	term := elect(t, c)
	if err := c.Read(1); err != nil {
		t.Fatal(err)
	}
	flush(c)
	c.Step(from("b", raft.Message{Kind: raft.MessageHeartbeatResponse, Term: term, Round: 1}))
	if e := flush(c); len(e.Reads) > 0 {
		t.Fatalf("confirmed %+v before the first entry is committed", e.Reads)
	}
	acknowledge(c, "b", term, 2)
	if e := flush(c); len(e.Reads) != 1 || e.Reads[0].Index != 2 {
		t.Errorf("got %+v", e.Reads)
	}
}

// A follower has entries that the leader lacks, and the leader's commit index is
// beyond the last matching entry. Applying those entries would diverge the
// follower's state from all others.
func TestCommitStopsAtWhatMatches(t *testing.T) {
	c := replicaA(2, trio(), commands(1, 1, 1))
	c.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: 2, Index: 1, LogTerm: 1, Commit: 3}))
	if e := flush(c); len(e.Committed) != 1 || c.Status().Commit != 1 {
		t.Errorf("%d entries applied, commit %d", len(e.Committed), c.Status().Commit)
	}
}

// A leader's entries follow one that conflicts with an entry from another leader.
// Appending them would create a log that no leader ever had.
func TestAppendThatDoesNotFitIsRefused(t *testing.T) {
	c := replicaA(2, trio(), commands(1, 1, 1))
	c.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: 2, Index: 2, LogTerm: 2, Entries: []raft.Entry{{Index: 3, Term: 2}}}))
	e := flush(c)
	if len(e.Messages) != 1 || !e.Messages[0].Reject || len(e.Entries) > 0 {
		t.Fatalf("got %+v", e)
	}
	c.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []raft.Entry{{Index: 2, Term: 2}}}))
	if e := flush(c); len(e.Messages) != 1 || e.Messages[0].Reject || e.Messages[0].Index != 2 || c.Status().Last != 2 {
		t.Errorf("got %+v, last %d", e, c.Status().Last)
	}
}
