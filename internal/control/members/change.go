package members

import (
	"slices"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/raft"
)

// Next returns the next change of the members and false when there is none.
//
// candidates are the replicas that answered under the names and addresses of
// the node file, with the identity that each showed.
func Next(current, candidates []raft.Member, admitted []string) (protocol.Change, bool) {
	for _, c := range candidates {
		if !slices.Contains(admitted, string(c.Identity)) {
			continue
		}
		if x, ok := step(current, c); ok {
			return x, true
		}
	}
	return protocol.Change{}, false
}

// step returns what is next on the way of an admitted replica to its vote.
func step(current []raft.Member, c raft.Member) (protocol.Change, bool) {
	at := slices.IndexFunc(current, func(m raft.Member) bool { return m.Identity == c.Identity })
	if at < 0 {
		return protocol.Change{Kind: protocol.AddLearner, Member: c}, true
	}
	if !current[at].Voter {
		return protocol.Change{Kind: protocol.Promote, Member: c}, true
	}
	for _, m := range current {
		if m.Name == c.Name && m.Identity != c.Identity {
			return protocol.Change{Kind: protocol.Remove, Member: m}, true
		}
	}
	return protocol.Change{}, false
}
