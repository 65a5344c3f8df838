package raft_test

import (
	"math/rand/v2"
	"testing"

	"hornbeamwood/internal/control/raft"
)

// Guards against a follower that raises its term while it is cut off: its return
// would depose the leader, and edits would be refused during the election.
func TestIsolatedFollowerKeepsItsTermAndTheLeaderItsRole(t *testing.T) {
	const campaigns, ticksPerElection = 100, 20
	cores := map[raft.Identity]raft.Core{}
	for i, id := range []raft.Identity{"a", "b", "c"} {
		cores[id] = raft.New(raft.Config{
			Founding: "f", Self: raft.Member{Identity: id}, Initial: trio().Without("l"), Random: rand.New(rand.NewPCG(1, uint64(i))),
		})
	}
	isolated := raft.None
	deliver := func() {
		for sent := true; sent; {
			sent = false
			for _, id := range []raft.Identity{"a", "b", "c"} {
				e := flush(cores[id])
				for _, m := range append(e.Early, e.Messages...) {
					if id != isolated && m.To != isolated {
						cores[m.To].Step(m)
						sent = true
					}
				}
			}
		}
	}
	tick := func(n int) {
		for range n {
			for _, id := range []raft.Identity{"a", "b", "c"} {
				cores[id].Tick()
			}
			deliver()
		}
	}
	tick(10 * ticksPerElection)
	var leader raft.Identity
	for id, c := range cores {
		if c.Status().Role == raft.Leader {
			leader = id
		}
	}
	if leader == raft.None {
		t.Fatal("no leader was elected")
	}
	term := cores[leader].Status().Term
	isolated = map[raft.Identity]raft.Identity{"a": "b", "b": "c", "c": "a"}[leader]
	tick(campaigns * ticksPerElection)
	if s := cores[isolated].Status(); s.Role == raft.Follower || s.Term != term {
		t.Fatalf("the isolated follower does not campaign, or its term %d is not %d: %+v", s.Term, term, s)
	}
	isolated = raft.None
	tick(2 * ticksPerElection)
	if s := cores[leader].Status(); s.Role != raft.Leader || s.Term != term {
		t.Errorf("the leader of term %d is %+v after the return", term, s)
	}
	for id, c := range cores {
		if s := c.Status(); s.Term != term {
			t.Errorf("%s has term %d, want %d", id, s.Term, term)
		}
	}
}
