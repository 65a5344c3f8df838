package raft_test

import (
	"testing"

	"hornbeamwood/internal/control/raft"
)

// A replica restarts while an append to it is in flight, and callers read all
// the time. The lost append must be resent, or the replica never catches up and
// the loss of another one blocks all edits.
func TestLostAppendIsResentUnderSteadyReads(t *testing.T) {
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
	t.Fatal("the lost append was not resent to the learner, which answered 40 heartbeats")
}

// The VMs of the first members were replaced one after the other, and the first
// append to the newest one is lost. This learner knows only the founding
// configuration, which lacks the leader. Without the leader's address in
// heartbeats it can't respond, the leader never detects that the append was
// lost, and the learner stays empty.
func TestHeartbeatsCarryTheLeadersAddress(t *testing.T) {
	c := replicaA(1, trio(), commands(1, 1, 1))
	elect(t, c)
	for range 10 {
		c.Tick()
		for _, m := range flush(c).Early {
			if m.Kind == raft.MessageHeartbeat && m.Address != "10.0.0.1:1" {
				t.Fatalf("a heartbeat to %s has the address %q", m.To, m.Address)
			}
		}
	}
}
