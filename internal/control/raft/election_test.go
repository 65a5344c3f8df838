package raft_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/raft"
)

// A single voter with a learner is elected at once by its own vote. If it sent
// its first append before its term is on disk, it could crash, lead the same term
// again and send different entries with the same index and term.
func TestNothingIsSentBeforeTheTermIsOnDisk(t *testing.T) {
	c := replicaA(1, trio().Without("b").Without("c"), nil)
	timeOut(c)
	e := c.Effects()
	if e.HardState == nil || len(e.Early) > 0 || len(e.Messages) == 0 {
		t.Errorf("hard state %v, %d messages before it, %d after", e.HardState, len(e.Early), len(e.Messages))
	}
}

// A replica that was removed, or receives nothing, requests votes while the
// leader works. Granting them would depose the leader repeatedly, and operators'
// edits would be rejected each time.
func TestVotesAreRefusedWhileTheLeaderIsActive(t *testing.T) {
	c := replicaA(1, trio(), nil)
	c.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: 1}))
	flush(c)
	c.Step(from("c", raft.Message{Kind: raft.MessageVote, Term: 9}))
	if e := flush(c); len(e.Messages) > 0 || c.Status().Term != 1 {
		t.Errorf("a vote request was answered while the leader is active: %+v", c.Status())
	}
	c.Step(from("c", raft.Message{Kind: raft.MessageVote, Term: 9, Transfer: true}))
	if flush(c); c.Status().Term != 9 {
		t.Error("a vote request of a leadership transfer was ignored")
	}
}

// Two candidates request votes in one term, one of them without an accepted edit.
// A second vote could elect two leaders, and a vote for the candidate that is
// behind would undo the edit. Either would lose an accepted edit.
func TestOneVoteForACandidateWithTheWholeLog(t *testing.T) {
	c := replicaA(2, trio(), commands(1, 2))
	requestVote := func(id raft.Identity, index, term uint64) (granted bool, saved *raft.HardState) {
		c.Step(from(id, raft.Message{Kind: raft.MessageVote, Term: 3, Index: index, LogTerm: term}))
		e := c.Effects()
		c.Persisted()
		if len(e.Early) > 0 || len(e.Messages) != 1 {
			t.Fatalf("%d early messages, %d answers", len(e.Early), len(e.Messages))
		}
		return !e.Messages[0].Reject, e.HardState
	}
	if granted, _ := requestVote("b", 1, 1); granted {
		t.Error("granted a vote to a shorter log")
	}
	if granted, _ := requestVote("b", 9, 1); granted {
		t.Error("granted a vote to a log of an earlier term")
	}
	if granted, saved := requestVote("c", 2, 2); !granted || saved == nil || saved.Vote != "c" {
		t.Errorf("granted %v, saved %+v", granted, saved)
	}
	if granted, _ := requestVote("b", 2, 2); granted {
		t.Error("granted a second vote in the term")
	}
}

// The leader appends the removal of a replica, sends it to that replica only and
// is lost. The removed replica now has the longest log. The others need its vote
// and can't be elected without its entries. If it did not campaign because it is
// removed, the group would never have a leader again.
func TestRemovedReplicaCampaignsUntilItsRemovalIsCommitted(t *testing.T) {
	c := replicaA(1, trio(), commands(1))
	without, err := codec.Marshal(trio().Without("a"))
	if err != nil {
		t.Fatal(err)
	}
	removal := raft.Entry{Index: 2, Term: 1, Kind: raft.EntryConfiguration, Data: without}
	c.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: 1, Index: 1, LogTerm: 1, Entries: []raft.Entry{removal}, Commit: 1}))
	flush(c)
	for range 25 {
		c.Tick()
	}
	if s := c.Status(); s.Role != raft.PreCandidate {
		t.Fatalf("the replica does not campaign: %+v", s)
	}
	for _, id := range []raft.Identity{"b", "c"} {
		c.Step(from(id, raft.Message{Kind: raft.MessagePreVoteResponse, Term: 2}))
	}
	flush(c)
	c.Step(from("b", raft.Message{Kind: raft.MessageVoteResponse, Term: 2}))
	if s := c.Status(); s.Role == raft.Leader {
		t.Fatal("the replica counted its own vote, although it is no voter any more")
	}
	c.Step(from("c", raft.Message{Kind: raft.MessageVoteResponse, Term: 2}))
	flush(c)
	acknowledge(c, "b", 2, 3)
	acknowledge(c, "c", 2, 3)
	if s := c.Status(); s.Commit != 3 || s.Role != raft.Follower {
		t.Errorf("the removal is not committed, or the removed replica is still the leader: %+v", s)
	}
}

// A leader that stops transfers leadership to the most up-to-date member.
// Without this, operators' edits are rejected for an election timeout at each
// planned stop.
func TestLeaderTransfersLeadershipAtOnce(t *testing.T) {
	c := replicaA(1, trio(), commands(1))
	term := elect(t, c)
	acknowledge(c, "b", term, 2)
	acknowledge(c, "c", term, 1)
	flush(c)
	if !c.TransferLeadership() {
		t.Fatal("no transferee was found")
	}
	transferee := raft.None
	for _, m := range flush(c).Early {
		if m.Kind == raft.MessageTimeoutNow {
			transferee = m.To
		}
	}
	if transferee != "b" {
		t.Errorf("leadership was transferred to %q", transferee)
	}
	if _, _, err := c.Propose([][]byte{edit(0, 1)}); !errors.Is(err, raft.ErrTransferring) {
		t.Errorf("a command during the leadership transfer: %v", err)
	}
	follower := replicaA(1, trio(), nil)
	follower.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: 1}))
	follower.Step(from("b", raft.Message{Kind: raft.MessageTimeoutNow, Term: 1}))
	if s := follower.Status(); s.Role != raft.Candidate || s.Term != 2 {
		t.Errorf("the transferee is %s in term %d", s.Role, s.Term)
	}
}

// Only a learner received the last entries of a leader that is lost. Another
// replica, whose configuration has the learner as a voter, can't win without its
// vote and doesn't get it, and no other replica has a quorum. If the learner did
// not campaign, the group would never have a leader again.
func TestLearnerThatIsNeededCampaigns(t *testing.T) {
	c := raft.New(raft.Config{
		Founding: "f", Self: raft.Member{Identity: "l", Address: "10.0.0.4:1"}, Initial: trio(),
		HardState: raft.HardState{Term: 3}, Entries: commands(1, 3), Random: rand.New(rand.NewPCG(1, 1)),
	})
	to := func(m raft.Message) raft.Message {
		m.To, m.Founding = "l", "f"
		return m
	}
	for range 50 {
		c.Tick()
	}
	if s := c.Status(); s.Role != raft.Follower {
		t.Fatalf("a learner without a pre-vote request is %s", s.Role)
	}
	c.Step(to(raft.Message{Kind: raft.MessagePreVote, From: "b", Term: 4, Index: 2, LogTerm: 2}))
	for range 25 {
		c.Tick()
	}
	c.Step(to(raft.Message{Kind: raft.MessagePreVoteResponse, From: "a", Term: 4}))
	c.Step(to(raft.Message{Kind: raft.MessagePreVoteResponse, From: "b", Term: 4}))
	flush(c)
	c.Step(to(raft.Message{Kind: raft.MessageVoteResponse, From: "a", Term: 4}))
	if s := c.Status(); s.Role != raft.Candidate {
		t.Fatalf("with the vote of one of three voters the learner is %s", s.Role)
	}
	c.Step(to(raft.Message{Kind: raft.MessageVoteResponse, From: "b", Term: 4}))
	flush(c)
	for _, id := range []raft.Identity{"a", "b"} {
		c.Step(to(raft.Message{Kind: raft.MessageAppendResponse, From: id, Term: 4, Index: 3}))
	}
	if s := c.Status(); s.Commit != 3 || s.Role != raft.Follower {
		t.Errorf("the entries are not committed, or the learner is still the leader: %+v", s)
	}
}

// All replicas were killed at the same moment and restart at once. Callers are
// rejected until one of them is elected, so the first campaign must not wait for
// a full election timeout. A replica that has known a leader waits for the full
// timeout, so that a leader that is merely slow is not deposed.
func TestRestartedVoterCampaignsSoon(t *testing.T) {
	const ticks = 10
	ticksUntilCampaign := func(c raft.Core) int {
		n := 0
		for ; c.Status().Role == raft.Follower; n++ {
			c.Tick()
		}
		return n
	}
	for seed := range uint64(50) {
		c := raft.New(raft.Config{
			Founding: "f", Self: raft.Member{Identity: "a", Address: "10.0.0.1:1"}, Initial: trio(),
			HardState: raft.HardState{Term: 1}, ElectionTicks: ticks, HeartbeatTicks: 2, Random: rand.New(rand.NewPCG(seed, 1)),
		})
		if n := ticksUntilCampaign(c); n <= 2 || n >= ticks {
			t.Errorf("seed %d: a restarted voter campaigns after %d ticks", seed, n)
		}
		c.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: 2}))
		flush(c)
		if n := ticksUntilCampaign(c); n < ticks {
			t.Errorf("seed %d: a voter that has known a leader campaigns after %d ticks", seed, n)
		}
	}
}
