package admission

import (
	"testing"
	"time"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/raft"
)

func view(members ...raft.Member) View {
	v := View{Self: "a", Members: members, Commit: 100, Matches: map[raft.Identity]uint64{}, Silent: map[raft.Identity]time.Duration{}, Replaced: map[raft.Identity]bool{}}
	for _, m := range members {
		v.Matches[m.Identity] = 100
	}
	return v
}

func voter(id raft.Identity) raft.Member { return raft.Member{Identity: id, Voter: true} }

func learner(id raft.Identity) raft.Member { return raft.Member{Identity: id} }

// A machine came back with an empty disk. The identity that its old disk had
// can't vote any more; as long as it stands among the voters the next loss
// stops the control log, and the operator's changes aren't accepted.
func TestReplacedIdentityIsDroppedAfterItsSuccessorVotes(t *testing.T) {
	v := view(voter("a"), voter("b"), voter("c"), learner("c2"))
	v.Replaced["c"] = true
	want(t, v, protocol.Promote, "c2")
	v.Members[3].Voter = true
	want(t, v, protocol.Remove, "c")
}

// A learner that lacks most of the log must not get a vote: a quorum with it
// could lose what was accepted.
func TestLearnerBehindStaysLearner(t *testing.T) {
	v := view(voter("a"), voter("b"), voter("c"), learner("d"))
	v.Matches["d"] = 100 - maxLag - 1
	none(t, v)
	v.Matches["d"] = 0
	v.Commit = maxLag
	none(t, v)
}

// One voter of five is silent for a few seconds: it may be frozen or cut off
// and comes back. It is dropped only when it stays away, and never when too
// few would remain.
func TestSilentVoter(t *testing.T) {
	v := view(voter("a"), voter("b"), voter("c"), voter("d"), voter("e"))
	v.Silent["e"] = DropAfter - time.Millisecond
	none(t, v)
	v.Silent["e"] = DropAfter
	want(t, v, protocol.Remove, "e")
	three := view(voter("a"), voter("b"), voter("c"))
	three.Silent["c"] = time.Hour
	none(t, three)
	v.Silent["b"], v.Silent["c"] = SilentAfter, SilentAfter
	none(t, v)
}

// One of three machines is gone for good, another one at a new address has taken
// its place and votes. Right after that repair a second machine is lost. With the
// dead voter still counted two of four are left, and no change of the operator is
// accepted or read back any more.
func TestDeadVoterGoesAsSoonAsItsSuccessorVotes(t *testing.T) {
	v := view(voter("a"), voter("b"), voter("c"), learner("d"))
	v.Silent["b"] = SilentAfter
	want(t, v, protocol.Promote, "d")
	v.Members[3].Voter = true
	want(t, v, protocol.Remove, "b")
	v.Silent["b"] = SilentAfter - time.Millisecond
	none(t, v)
	six := view(voter("a"), voter("b"), voter("c"), voter("d"), voter("e"), voter("f"))
	six.Silent["f"] = SilentAfter
	want(t, six, protocol.Remove, "f")
	for _, id := range []raft.Identity{"c", "d", "e", "f"} {
		six.Silent[id] = SilentAfter
	}
	none(t, six)
}

func want(t *testing.T, v View, kind protocol.ChangeKind, id raft.Identity) {
	t.Helper()
	c, ok := Next(v)
	if !ok || c.Kind != kind || c.Member.Identity != id {
		t.Errorf("got %v %v, want %s %s", c, ok, kind, id)
	}
}

func none(t *testing.T, v View) {
	t.Helper()
	if c, ok := Next(v); ok {
		t.Errorf("got %v, want no change", c)
	}
}
