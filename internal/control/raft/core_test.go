package raft_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/raft"
)

// trio is three voters and a learner.
func trio() raft.Configuration {
	return raft.NewConfiguration(
		raft.Member{Name: "a", Identity: "a", Address: "10.0.0.1:1", Voter: true},
		raft.Member{Name: "b", Identity: "b", Address: "10.0.0.2:1", Voter: true},
		raft.Member{Name: "c", Identity: "c", Address: "10.0.0.3:1", Voter: true},
		raft.Member{Name: "l", Identity: "l", Address: "10.0.0.4:1"},
	)
}

// commands returns entries of the given terms from index 1 on.
func commands(terms ...uint64) []raft.Entry {
	var all []raft.Entry
	for i, term := range terms {
		all = append(all, raft.Entry{Index: uint64(i) + 1, Term: term, Data: edit(0, uint64(i))})
	}
	return all
}

// replicaA returns the core of a with the given log.
func replicaA(term uint64, initial raft.Configuration, entries []raft.Entry) raft.Core {
	return raft.New(raft.Config{
		Founding: "f", Self: raft.Member{Identity: "a", Address: "10.0.0.1:1"}, Initial: initial,
		HardState: raft.HardState{Term: term}, Entries: entries, Random: rand.New(rand.NewPCG(1, 1)),
	})
}

// flush carries out all effects at once and returns them joined.
func flush(c raft.Core) raft.Effects {
	var all raft.Effects
	for {
		e := c.Effects()
		if e.Empty() {
			return all
		}
		c.Persisted()
		all.Early = append(all.Early, e.Early...)
		all.Messages = append(all.Messages, e.Messages...)
		all.Entries = append(all.Entries, e.Entries...)
		all.Committed = append(all.Committed, e.Committed...)
		all.Reads = append(all.Reads, e.Reads...)
		if e.Install != nil {
			all.Install = e.Install
		}
	}
}

// from returns m as b, or another, would send it to a.
func from(id raft.Identity, m raft.Message) raft.Message {
	m.From, m.To, m.Founding = id, "a", "f"
	return m
}

// timeOut lets time pass until the core campaigns.
func timeOut(c raft.Core) {
	for c.Status().Role == raft.Follower {
		c.Tick()
	}
}

// elect makes a the leader of the term after its own, with the vote of b.
func elect(t *testing.T, c raft.Core) uint64 {
	t.Helper()
	timeOut(c)
	term := c.Status().Term + 1
	c.Step(from("b", raft.Message{Kind: raft.MessagePreVoteResponse, Term: term}))
	flush(c)
	c.Step(from("b", raft.Message{Kind: raft.MessageVoteResponse, Term: term}))
	flush(c)
	if s := c.Status(); s.Role != raft.Leader || s.Term != term {
		t.Fatalf("not elected: %+v", s)
	}
	return term
}

func acknowledge(c raft.Core, id raft.Identity, term, index uint64) {
	c.Step(from(id, raft.Message{Kind: raft.MessageAppendResponse, Term: term, Index: index}))
}

// A leader finds an entry of an earlier term on a majority of disks. Another
// replica may still be elected that lacks it and overwrite it; a caller who
// was told that it is accepted would see it vanish.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	c := replicaA(3, trio(), commands(1, 2))
	term := elect(t, c)
	acknowledge(c, "b", term, 2)
	if got := c.Status().Commit; got != 0 {
		t.Fatalf("commit %d by entries of earlier terms", got)
	}
	acknowledge(c, "b", term, 3)
	if got := c.Status().Commit; got != 3 {
		t.Errorf("commit %d after the leader's own entry", got)
	}
}

// A leader's own disk is slower than the others'. Counting itself before its
// sync would accept an edit that one disk holds; both others could then elect
// a leader without it.
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

// A snapshot message is late: the follower has got the entries behind it from
// the log meanwhile and has acknowledged them. Installing it would drop them,
// and with them an edit that was accepted because this disk holds it.
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

// Operators change the members just after an election, or twice at once. Two
// configurations that each have a quorum of their own could accept different
// edits under one number.
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

// Answers come from replicas without a vote: a learner, a removed one, or one
// that lost its disk and answers under a new identity. Counted, they would let
// a leader be elected, or an edit be accepted, without a quorum.
func TestOnlyVotersCount(t *testing.T) {
	c := replicaA(1, trio(), nil)
	timeOut(c)
	for _, id := range []raft.Identity{"l", "x"} {
		c.Step(from(id, raft.Message{Kind: raft.MessagePreVoteResponse, Term: 2}))
	}
	if s := c.Status(); s.Role != raft.PreCandidate || s.Term != 1 {
		t.Fatalf("elected by others than voters: %+v", s)
	}
	term := elect(t, c)
	acknowledge(c, "l", term, 1)
	acknowledge(c, "x", term, 1)
	if got := c.Status().Commit; got != 0 {
		t.Errorf("commit %d without a quorum of voters", got)
	}
}

// A VM is replaced under its old address, and messages to the former disk, of
// another group or of another founding still arrive there.
func TestMessagesForOthersAreNotTaken(t *testing.T) {
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
			t.Errorf("%+v was taken", m)
		}
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

// A membership change is replaced by another leader's entry before it is
// committed; who went on with it would count votes in a group that never was.
func TestReplacedMembershipChangeIsForgotten(t *testing.T) {
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

// A peer sends entries with a gap, or a heartbeat that names entries which
// this replica does not have; neither may be counted as its log.
func TestMalformedAppendIsPassedOver(t *testing.T) {
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

// A new leader does not know yet what its predecessors committed. A read that
// it confirms before its own first entry is committed could miss an accepted
// edit.
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

// A follower has entries that the leader does not know of, and the leader's
// commit index is beyond what it has confirmed. Applying those entries would
// give the follower a state that no other replica has.
func TestCommitStopsAtWhatMatches(t *testing.T) {
	c := replicaA(2, trio(), commands(1, 1, 1))
	c.Step(from("b", raft.Message{Kind: raft.MessageAppend, Term: 2, Index: 1, LogTerm: 1, Commit: 3}))
	if e := flush(c); len(e.Committed) != 1 || c.Status().Commit != 1 {
		t.Errorf("%d entries applied, commit %d", len(e.Committed), c.Status().Commit)
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

// A learner restarts in the middle of a snapshot, and a late copy of the first
// chunk reaches it. It stands at the second chunk while the leader goes on
// sending a later one; were its answers passed over as old ones, it would never
// catch up and the operator would wait for its vote for ever.
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
	t.Fatal("the learner was never sent the chunk that it lacks")
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
