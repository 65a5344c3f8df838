package raft_test

import (
	"errors"
	"testing"

	"hornbeamwood/internal/control/raft"
)

// Operators change the members just after an election, or twice at once. Two
// configurations with disjoint quorums could commit different edits at one index.
func TestMembershipChangesOneAtATime(t *testing.T) {
	c := replicaA(1, trio(), nil)
	term := elect(t, c)
	add := raft.AddLearner(raft.Member{Name: "d", Identity: "d", Address: "10.0.0.5:1"})
	if _, _, err := c.Change(add); !errors.Is(err, raft.ErrChangePending) {
		t.Errorf("before the leader's own entry is committed: %v", err)
	}
	acknowledge(c, "b", term, 1)
	if _, _, err := c.Change(add); err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.Change(raft.Remove("l")); !errors.Is(err, raft.ErrChangePending) {
		t.Errorf("while a change is not committed: %v", err)
	}
	flush(c)
	acknowledge(c, "b", term, 2)
	if _, _, err := c.Change(raft.Promote("d")); !errors.Is(err, raft.ErrNotCaughtUp) {
		t.Errorf("a learner without the log: %v", err)
	}
	two := func(latest raft.Configuration) (raft.Configuration, error) {
		return latest.Without("b").Without("c"), nil
	}
	if _, _, err := c.Change(two); !errors.Is(err, raft.ErrSeveralVoters) {
		t.Errorf("two voters at once: %v", err)
	}
}

// Responses arrive from replicas that are no voters: a learner, a removed
// replica, or one that lost its disk and has a new identity. Counting them would
// elect a leader, or commit an edit, without a quorum.
func TestOnlyVotersCount(t *testing.T) {
	c := replicaA(1, trio(), nil)
	timeOut(c)
	for _, id := range []raft.Identity{"l", "x"} {
		c.Step(from(id, raft.Message{Kind: raft.MessagePreVoteResponse, Term: 2}))
	}
	if s := c.Status(); s.Role != raft.PreCandidate || s.Term != 1 {
		t.Fatalf("elected by replicas that are no voters: %+v", s)
	}
	term := elect(t, c)
	acknowledge(c, "l", term, 1)
	acknowledge(c, "x", term, 1)
	if got := c.Status().Commit; got != 0 {
		t.Errorf("commit %d without a quorum of voters", got)
	}
}

// A VM is replaced under its old address. Messages to the former disk, of another
// group or of another founding still arrive there.
func TestMessagesForOthersAreIgnored(t *testing.T) {
	vote := from("b", raft.Message{Kind: raft.MessageVote, Term: 5, Transfer: true})
	for _, change := range []func(*raft.Message){
		func(m *raft.Message) { m.To = "old-a" },
		func(m *raft.Message) { m.Founding = "g" },
		func(m *raft.Message) { m.Group = 1 },
		func(m *raft.Message) { m.From = "a" },
	} {
		c := replicaA(1, trio(), nil)
		m := vote
		change(&m)
		c.Step(m)
		if e := flush(c); len(e.Messages) > 0 || c.Status().Term != 1 {
			t.Errorf("%+v was processed", m)
		}
	}
}

// An uncommitted membership change is overwritten by another leader's entry. A
// replica that kept it would count votes in a configuration that was never in
// force.
func TestOverwrittenMembershipChangeIsDropped(t *testing.T) {
	leader := replicaA(1, trio(), nil)
	term := elect(t, leader)
	acknowledge(leader, "b", term, 1)
	if _, _, err := leader.Change(raft.Remove("c")); err != nil {
		t.Fatal(err)
	}
	e := flush(leader)
	if leader.Status().Configuration.Voters() != 2 {
		t.Fatal("the change is not in force at the leader")
	}
	index := e.Entries[len(e.Entries)-1].Index
	leader.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: term + 1, Index: index - 1, LogTerm: term, Entries: []raft.Entry{{Index: index, Term: term + 1, Kind: raft.EntryNoop}}}))
	if got := leader.Status().Configuration.Voters(); got != 3 {
		t.Errorf("%d voters after the change was replaced", got)
	}
}
