package raft_test

import (
	"math/rand/v2"
	"testing"

	"hornbeamwood/internal/control/raft"
)

// trio returns a configuration of three voters and a learner.
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

// replicaA returns the core of member a with the given log.
func replicaA(term uint64, initial raft.Configuration, entries []raft.Entry) raft.Core {
	return raft.New(raft.Config{
		Founding: "f", Self: raft.Member{Identity: "a", Address: "10.0.0.1:1"}, Initial: initial,
		HardState: raft.HardState{Term: term}, Entries: entries, Random: rand.New(rand.NewPCG(1, 1)),
	})
}

// flush acknowledges all effects as persisted and returns them combined.
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

// from returns m as sent by id to a.
func from(id raft.Identity, m raft.Message) raft.Message {
	m.From, m.To, m.Founding = id, "a", "f"
	return m
}

// timeOut ticks until the core campaigns.
func timeOut(c raft.Core) {
	for c.Status().Role == raft.Follower {
		c.Tick()
	}
}

// elect makes a the leader of the next term, with the vote of b.
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
