package raft_test

import (
	"testing"

	"hornbeamwood/internal/control/raft"
)

// A replica was started anew while an append was on its way to it, and callers
// read all the time. The lost append must be sent again, or the replica never
// catches up and the loss of another one stops all edits.
func TestLostAppendIsSentAgainUnderSteadyReads(t *testing.T) {
	c := replicaA(1, trio(), commands(1, 1, 1))
	term := elect(t, c)
	acknowledge(c, "b", term, 4)
	flush(c)
	for i := range 40 {
		if err := c.Read(uint64(i)); err != nil {
			t.Fatal(err)
		}
		c.Tick()
		for _, m := range flush(c).Early {
			if m.Kind == raft.MessageAppend && m.To == "l" {
				return
			}
			if m.Kind == raft.MessageHeartbeat {
				c.Step(from(m.To, raft.Message{Kind: raft.MessageHeartbeatResponse, Term: term, Round: m.Round}))
			}
		}
	}
	t.Fatal("the learner answered 40 heartbeats and was not sent the lost append again")
}

// Both VMs of the first members were replaced one after the other, and the
// first append to the newest one is lost. All that this learner knows is the
// founding configuration, without the leader; unless heartbeats say where to
// answer, the leader never learns that the append was lost, and the learner
// stays empty.
func TestHeartbeatsSayWhereToAnswer(t *testing.T) {
	c := replicaA(1, trio(), commands(1, 1, 1))
	elect(t, c)
	for range 10 {
		c.Tick()
		for _, m := range flush(c).Early {
			if m.Kind == raft.MessageHeartbeat && m.Address != "10.0.0.1:1" {
				t.Fatalf("a heartbeat to %s says %q", m.To, m.Address)
			}
		}
	}
}
