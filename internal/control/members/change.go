package members

import (
	"slices"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/raft"
)

// Next returns the next membership change, or false if there is none.
//
// candidates are the replicas that answered a probe under the names and
// addresses of the node file, with their identities.
func Next(current, candidates []raft.Member, admitted []string) (protocol.Change, bool) {
	for _, c := range candidates {
		if !slices.Contains(admitted, string(c.Identity)) {
			continue
		}
		if change, ok := nextStep(current, c); ok {
			return change, true
		}
	}
	return protocol.Change{}, false
}

// nextStep returns the next change that lets the admitted replica c replace the member of its name.
//
// The earlier member is removed before its successor votes. Counted together, the
// two would need a larger quorum, and the loss of the successor would leave too few.
func nextStep(current []raft.Member, c raft.Member) (protocol.Change, bool) {
	i := slices.IndexFunc(current, func(m raft.Member) bool { return m.Identity == c.Identity })
	if i < 0 {
		return protocol.Change{Kind: protocol.AddLearner, Member: c}, true
	}
	for _, m := range current {
		if m.Name == c.Name && m.Identity != c.Identity {
			return protocol.Change{Kind: protocol.Remove, Member: m}, true
		}
	}
	return protocol.Change{Kind: protocol.Promote, Member: c}, !current[i].Voter
}
