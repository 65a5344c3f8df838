package members

import (
	"testing"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/raft"
)

func member(name, identity string, voter bool) raft.Member {
	return raft.Member{Name: name, Identity: raft.Identity(identity), Address: name + ":1", Voter: voter}
}

// A VM lost its disk and was replaced at its old address. Until an operator
// admits the new identity nothing changes. Then the members change one step at a
// time. The old member is removed before the new replica becomes a voter; as voters
// both, they would leave no quorum if the VM lost its disk again.
func TestReplacedReplicaIsAdmittedStepByStep(t *testing.T) {
	current := []raft.Member{member("a", "a1", true), member("b", "b1", true), member("c", "c1", true)}
	candidates := []raft.Member{member("a", "a1", false), member("b", "b1", false), member("c", "c2", false)}
	if c, ok := Next(current, candidates, nil); ok {
		t.Fatalf("no identity is admitted, but the next change is %+v", c)
	}
	want := []protocol.ChangeKind{protocol.AddLearner, protocol.Remove, protocol.Promote}
	for i, k := range want {
		c, ok := Next(current, candidates, []string{"c2"})
		if !ok || c.Kind != k {
			t.Fatalf("step %d: got %+v, want %s", i, c, k)
		}
		switch k {
		case protocol.AddLearner:
			current = append(current, c.Member)
		case protocol.Promote:
			current[2].Voter = true
		case protocol.Remove:
			if c.Member.Identity != "c1" {
				t.Fatalf("removed %s", c.Member.Identity)
			}
			current = append(current[:2:2], current[3])
		}
	}
	if c, ok := Next(current, candidates, []string{"c2"}); ok {
		t.Fatalf("the replacement is complete, but the next change is %+v", c)
	}
}
