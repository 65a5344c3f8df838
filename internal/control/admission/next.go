package admission

import (
	"time"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/raft"
)

const (
	// SilentAfter is how long a member answers nothing until it counts as lost: well over an election.
	SilentAfter = 2500 * time.Millisecond
	// DropAfter is how long a voter is silent until it is dropped: longer than
	// the freezes and cuts of a few seconds that a VM comes back from.
	DropAfter = 10 * time.Second
	// minVoters must remain after a voter is dropped for silence.
	minVoters = 3
	// maxLag is how many entries a learner may lack when it gets its vote.
	maxLag = 64
)

// rule proposes a change, or none.
type rule func(v View) (protocol.Change, bool)

// rules in the order of their priority: a vote for a replica that has caught
// up comes before the loss of one, so that a quorum never shrinks to those that
// hold what was accepted only by luck.
var rules = []rule{promoteLearner, dropReplaced, dropSuperfluousVoter, dropSilentLearner, dropSilentVoter}

// Next returns the change of the members to make now and false when there is none.
func Next(v View) (protocol.Change, bool) {
	for _, r := range rules {
		if c, ok := r(v); ok {
			return c, true
		}
	}
	return protocol.Change{}, false
}

func promoteLearner(v View) (protocol.Change, bool) {
	return first(v, protocol.Promote, func(m raft.Member) bool {
		return !m.Voter && v.alive(m) && v.caughtUp(m)
	})
}

// dropReplaced drops an identity whose disk is gone: another one answers at its address.
//
// Its vote can never come again, and until it is dropped each further loss
// counts double.
func dropReplaced(v View) (protocol.Change, bool) {
	return first(v, protocol.Remove, func(m raft.Member) bool {
		return v.Replaced[m.Identity] && (!m.Voter || v.safeWithout(m))
	})
}

// dropSuperfluousVoter drops a silent voter from an even number of voters at once.
//
// When a machine is gone for good and its successor at another address has got
// its vote, three voters have become four with one dead: the next loss leaves two
// of four and the control log stops, until the dead one counts as lost seconds
// later. An even number of voters bears no more losses than one voter less, so
// that nothing is given up by dropping one that may come back; it joins again.
func dropSuperfluousVoter(v View) (protocol.Change, bool) {
	if v.voters()%2 != 0 {
		return protocol.Change{}, false
	}
	return first(v, protocol.Remove, func(m raft.Member) bool {
		return m.Voter && v.Silent[m.Identity] >= SilentAfter && v.safeWithout(m)
	})
}

func dropSilentLearner(v View) (protocol.Change, bool) {
	return first(v, protocol.Remove, func(m raft.Member) bool {
		return !m.Voter && v.Silent[m.Identity] >= DropAfter
	})
}

// dropSilentVoter drops a voter that was lost for good and whose machine has no successor at its address.
func dropSilentVoter(v View) (protocol.Change, bool) {
	return first(v, protocol.Remove, func(m raft.Member) bool {
		return m.Voter && v.Silent[m.Identity] >= DropAfter && v.safeWithout(m)
	})
}

// safeWithout returns whether enough voters remain and a majority of them is alive.
func (v View) safeWithout(dropped raft.Member) bool {
	voters, alive := 0, 0
	for _, m := range v.Members {
		if !m.Voter || m.Identity == dropped.Identity {
			continue
		}
		voters++
		if v.alive(m) {
			alive++
		}
	}
	return voters >= minVoters && alive > voters/2
}

func first(v View, kind protocol.ChangeKind, want func(raft.Member) bool) (protocol.Change, bool) {
	for _, m := range v.Members {
		if m.Identity != v.Self && want(m) {
			return protocol.Change{Kind: kind, Member: m}, true
		}
	}
	return protocol.Change{}, false
}
