package admission

import (
	"time"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/raft"
)

const (
	// SilentAfter is how long a member is silent before it counts as lost: well over the time of an election.
	SilentAfter = 2500 * time.Millisecond
	// RemoveAfter is how long a member is silent before it is removed: longer than
	// the suspensions and partitions of a few seconds from which a VM recovers.
	RemoveAfter = 10 * time.Second
	// minVoters is the number of voters that must remain after a voter is removed that nothing takes the place of.
	minVoters = 3
	// minReplacedVoters is the number of voters that must remain after a voter is
	// removed for its successor. A single one would accept edits that are on one disk.
	minReplacedVoters = 2
	// maxLag is how many entries a learner may be behind when it becomes a voter.
	maxLag = 64
)

// rule returns a change that the view calls for and whether there is one.
type rule func(v View) (protocol.Change, bool)

// rules are in order of priority. A voter that is gone is removed before its
// successor votes: counted together, the two would need a larger quorum, and the
// loss of the successor would leave too few.
var rules = []rule{removeReplaced, removeBlockingVoter, promoteLearner, removeSuperfluousVoter, removeSilentLearner, removeSilentVoter}

// Next returns the membership change to make now, or false if there is none.
func Next(v View) (protocol.Change, bool) {
	for _, r := range rules {
		if c, ok := r(v); ok {
			return c, true
		}
	}
	return protocol.Change{}, false
}

// removeReplaced removes an identity whose disk is lost, as shown by another identity at its address.
//
// The old identity can never vote again, and the group tolerates no fewer losses without it.
func removeReplaced(v View) (protocol.Change, bool) {
	return first(v, protocol.Remove, func(m raft.Member) bool {
		return v.replaced(m) && (!m.Voter || v.safeWithout(m, minReplacedVoters))
	})
}

// removeBlockingVoter removes a silent voter while a learner could vote in its place but may not be promoted beside it.
func removeBlockingVoter(v View) (protocol.Change, bool) {
	if _, ok := v.promotable(); !ok || v.toleratesPromotion() {
		return protocol.Change{}, false
	}
	return first(v, protocol.Remove, func(m raft.Member) bool {
		return m.Voter && !v.alive(m) && v.safeWithout(m, minReplacedVoters)
	})
}

// promoteLearner makes a learner a voter, unless its loss right afterwards would leave no quorum.
func promoteLearner(v View) (protocol.Change, bool) {
	m, ok := v.promotable()
	return protocol.Change{Kind: protocol.Promote, Member: m}, ok && v.toleratesPromotion()
}

// removeSuperfluousVoter removes a silent voter immediately if the number of voters is even.
//
// When a machine is lost for good and its replacement at another address has
// become a voter, three voters have become four, one of them dead. Another loss
// would leave two of four and stop the control log for seconds, until the dead
// voter has been silent for RemoveAfter. An even number of voters tolerates no more
// losses than the odd number below it. Removing a voter that may recover therefore
// costs nothing: it joins again.
func removeSuperfluousVoter(v View) (protocol.Change, bool) {
	if v.voters()%2 != 0 {
		return protocol.Change{}, false
	}
	return first(v, protocol.Remove, func(m raft.Member) bool {
		return m.Voter && v.Silent[m.Identity] >= SilentAfter && v.safeWithout(m, minVoters)
	})
}

func removeSilentLearner(v View) (protocol.Change, bool) {
	return first(v, protocol.Remove, func(m raft.Member) bool {
		return !m.Voter && v.Silent[m.Identity] >= RemoveAfter
	})
}

// removeSilentVoter removes a voter that was lost for good and has no replacement at its address.
func removeSilentVoter(v View) (protocol.Change, bool) {
	return first(v, protocol.Remove, func(m raft.Member) bool {
		return m.Voter && v.Silent[m.Identity] >= RemoveAfter && v.safeWithout(m, minVoters)
	})
}

// safeWithout returns whether, without the given member, at least the given number of voters remain and a majority of them is alive.
func (v View) safeWithout(removed raft.Member, least int) bool {
	voters, alive := v.voters(), v.aliveVoters()
	if removed.Voter {
		voters--
		if v.alive(removed) {
			alive--
		}
	}
	return voters >= least && alive > voters/2
}

// toleratesPromotion returns whether one more voter may be added and lost right
// afterwards. A group of one tolerates no loss either way.
func (v View) toleratesPromotion() bool {
	return v.voters() == 1 || v.aliveVoters() > (v.voters()+1)/2
}

// first returns a change of the given kind for the first member other than the leader that want accepts.
func first(v View, kind protocol.ChangeKind, want func(raft.Member) bool) (protocol.Change, bool) {
	for _, m := range v.Members {
		if m.Identity != v.Self && want(m) {
			return protocol.Change{Kind: kind, Member: m}, true
		}
	}
	return protocol.Change{}, false
}
