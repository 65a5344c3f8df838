package raft_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/raft"
)

// A replica alone with a learner is elected by itself at once. Were its first
// append to leave before its term is on disk, it could crash, lead the same
// term again and send other entries under the same numbers.
func TestNothingLeavesBeforeTheTermIsOnDisk(t *testing.T) {
	c := replicaA(1, trio().Without("b").Without("c"), nil)
	timeOut(c)
	e := c.Effects()
	if e.HardState == nil || len(e.Early) > 0 || len(e.Messages) == 0 {
		t.Errorf("hard state %v, %d messages before it, %d after", e.HardState, len(e.Early), len(e.Messages))
	}
}

// A replica that was removed, or hears nothing, asks for votes while the
// leader works. Were it answered, the leader would be deposed again and again
// and operators' edits refused each time.
func TestVotesAreRefusedWhileTheLeaderIsHeard(t *testing.T) {
	c := replicaA(1, trio(), nil)
	c.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: 1}))
	flush(c)
	c.Step(from("c", raft.Message{Kind: raft.MessageVote, Term: 9}))
	if e := flush(c); len(e.Messages) > 0 || c.Status().Term != 1 {
		t.Errorf("a vote was answered while the leader is heard: %+v", c.Status())
	}
	c.Step(from("c", raft.Message{Kind: raft.MessageVote, Term: 9, Transfer: true}))
	if flush(c); c.Status().Term != 9 {
		t.Error("a vote that the leader asked for was passed over")
	}
}

// Two candidates ask in one term, one of them without an accepted edit. A
// second vote would elect two leaders, a vote for the one that is behind would
// undo the edit; either would show as an accepted edit that is gone.
func TestOneVoteForACandidateWithTheWholeLog(t *testing.T) {
	c := replicaA(2, trio(), commands(1, 2))
	ask := func(id raft.Identity, index, term uint64) (granted bool, saved *raft.HardState) {
		c.Step(from(id, raft.Message{Kind: raft.MessageVote, Term: 3, Index: index, LogTerm: term}))
		e := c.Effects()
		c.Persisted()
		if len(e.Early) > 0 || len(e.Messages) != 1 {
			t.Fatalf("%d early messages, %d answers", len(e.Early), len(e.Messages))
		}
		return !e.Messages[0].Reject, e.HardState
	}
	if granted, _ := ask("b", 1, 1); granted {
		t.Error("a vote for a shorter log")
	}
	if granted, _ := ask("b", 9, 1); granted {
		t.Error("a vote for a log of an earlier term")
	}
	if granted, saved := ask("c", 2, 2); !granted || saved == nil || saved.Vote != "c" {
		t.Errorf("granted %v, saved %+v", granted, saved)
	}
	if granted, _ := ask("b", 2, 2); granted {
		t.Error("a second vote in the term")
	}
}

// The leading VM appends the removal of a replica, sends it to that replica
// only and is lost. The removed replica now has the longest log and the others
// can't do without its vote, nor may they lead without its entries. Were it to
// stay still because it is removed, operators would have no leader for ever.
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
		t.Fatal("the replica counted its own vote, which it no longer has")
	}
	c.Step(from("c", raft.Message{Kind: raft.MessageVoteResponse, Term: 2}))
	flush(c)
	acknowledge(c, "b", 2, 3)
	acknowledge(c, "c", 2, 3)
	if s := c.Status(); s.Commit != 3 || s.Role != raft.Follower {
		t.Errorf("the removal is not committed, or the removed replica leads on: %+v", s)
	}
}

// A leader that stops asks the member with most of the log to take over at
// once; without that, operators' edits are refused for an election timeout at
// each planned stop.
func TestLeaderHandsOverAtOnce(t *testing.T) {
	c := replicaA(1, trio(), commands(1))
	term := elect(t, c)
	acknowledge(c, "b", term, 2)
	acknowledge(c, "c", term, 1)
	flush(c)
	if !c.Transfer() {
		t.Fatal("no member was found to take over")
	}
	asked := raft.None
	for _, m := range flush(c).Early {
		if m.Kind == raft.MessageTimeoutNow {
			asked = m.To
		}
	}
	if asked != "b" {
		t.Errorf("%q was asked to take over", asked)
	}
	if _, _, err := c.Propose([][]byte{edit(0, 1)}); !errors.Is(err, raft.ErrTransferring) {
		t.Errorf("a command during the hand-over: %v", err)
	}
	follower := replicaA(1, trio(), nil)
	follower.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: 1}))
	follower.Step(from("b", raft.Message{Kind: raft.MessageTimeoutNow, Term: 1}))
	if s := follower.Status(); s.Role != raft.Candidate || s.Term != 2 {
		t.Errorf("the one that was asked is %s in term %d", s.Role, s.Term)
	}
}

// A learner alone got the last entries of a leader that is lost. Another
// replica, which believes it to be a voter, can't win without its vote and does
// not get it, and nobody else has a quorum. Were the learner to stand still,
// operators would have no leader for ever.
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
		t.Fatalf("a learner that nobody asked is %s", s.Role)
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
		t.Fatalf("with one vote of three voters the learner is %s", s.Role)
	}
	c.Step(to(raft.Message{Kind: raft.MessageVoteResponse, From: "b", Term: 4}))
	flush(c)
	for _, id := range []raft.Identity{"a", "b"} {
		c.Step(to(raft.Message{Kind: raft.MessageAppendResponse, From: id, Term: 4, Index: 3}))
	}
	if s := c.Status(); s.Commit != 3 || s.Role != raft.Follower {
		t.Errorf("the entries are not committed, or the learner leads on: %+v", s)
	}
}

// All replicas were killed at the same moment and are back at once. Nothing is
// served until one of them leads, and callers are refused meanwhile, so that the
// first to ask must not wait for a whole election timeout. One that has known a
// leader keeps to the whole: a leader that is merely slow must not be deposed.
func TestVoterThatHasJustStartedAsksSoon(t *testing.T) {
	const ticks = 10
	until := func(c raft.Core) int {
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
		if n := until(c); n <= 2 || n >= ticks {
			t.Errorf("seed %d: a started voter asks after %d ticks", seed, n)
		}
		c.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: 2}))
		flush(c)
		if n := until(c); n < ticks {
			t.Errorf("seed %d: a voter that heard a leader asks after %d ticks", seed, n)
		}
	}
}
