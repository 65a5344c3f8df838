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

// Guards against keeping the identity of a machine that restarted with an empty
// disk. That identity can't vote any more, and while it is among the voters the
// next loss stops the control log and the operator's changes are rejected.
func TestReplacedIdentityIsRemovedBeforeItsSuccessorVotes(t *testing.T) {
	v := view(voter("a"), voter("b"), voter("c"), learner("c2"))
	v.Replaced["c"] = true
	want(t, v, protocol.Remove, "c")
	v.Members = []raft.Member{voter("a"), voter("b"), learner("c2")}
	want(t, v, protocol.Promote, "c2")
}

// Guards against a replaced identity that counts as alive because the probe of its
// successor failed after that had joined.
func TestIdentityIsReplacedOnceASuccessorHasJoinedFromItsAddress(t *testing.T) {
	c, c2 := voter("c"), learner("c2")
	c.Address, c2.Address = "c:1", "c:1"
	want(t, view(voter("a"), voter("b"), c, c2), protocol.Remove, "c")
}

// Guards against promoting a learner that lacks most of the log: a quorum that
// includes it could lose committed entries.
func TestLearnerBehindStaysLearner(t *testing.T) {
	v := view(voter("a"), voter("b"), voter("c"), learner("d"))
	v.Matches["d"] = 100 - maxLag - 1
	none(t, v)
	v.Matches["d"] = 0
	v.Commit = maxLag
	none(t, v)
}

// Guards against removing a voter that is silent for a few seconds, because it may
// be suspended or partitioned and recover. It is removed only after RemoveAfter, and
// never if too few voters would remain.
func TestSilentVoter(t *testing.T) {
	v := view(voter("a"), voter("b"), voter("c"), voter("d"), voter("e"))
	v.Silent["e"] = RemoveAfter - time.Millisecond
	none(t, v)
	v.Silent["e"] = RemoveAfter
	want(t, v, protocol.Remove, "e")
	three := view(voter("a"), voter("b"), voter("c"))
	three.Silent["c"] = time.Hour
	none(t, three)
	v.Silent["b"], v.Silent["c"] = SilentAfter, SilentAfter
	none(t, v)
}

// Guards against a control log that stops when a second machine is lost right after
// the replacement of the first became a voter at a new address. If the dead voter
// still counted, two of four voters would be left, and the operator's changes could
// be neither committed nor read.
func TestDeadVoterGoesBeforeItsSuccessorVotes(t *testing.T) {
	v := view(voter("a"), voter("b"), voter("c"), learner("d"))
	v.Silent["b"] = SilentAfter
	want(t, v, protocol.Remove, "b")
	v.Members = []raft.Member{voter("a"), voter("c"), learner("d")}
	want(t, v, protocol.Promote, "d")
	v = view(voter("a"), voter("b"), voter("c"), voter("d"))
	v.Silent["b"] = SilentAfter
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

// Guards against a group of one replica that can't grow.
func TestSecondVoterJoinsTheFirst(t *testing.T) {
	want(t, view(voter("a"), learner("b")), protocol.Promote, "b")
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
