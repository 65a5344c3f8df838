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
	// minVoters is the number of voters that must remain after a voter is removed.
	minVoters = 3
	// maxLag is how many entries a learner may be behind when it becomes a voter.
	maxLag = 64
)

// rule returns a change that the view calls for and whether there is one.
type rule func(v View) (protocol.Change, bool)

// rules are in order of priority. A replica that has caught up is promoted
// before a voter is removed, so that a quorum never shrinks to replicas that
// hold the committed entries only by chance.
var rules = []rule{promoteLearner, removeReplaced, removeSuperfluousVoter, removeSilentLearner, removeSilentVoter}

// Next returns the membership change to make now, or false if there is none.
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

// removeReplaced removes an identity whose disk is lost, as shown by another identity at its address.
//
// The old identity can never vote again. Until it is removed, the group
// tolerates one failure less.
func removeReplaced(v View) (protocol.Change, bool) {
	return first(v, protocol.Remove, func(m raft.Member) bool {
		return v.Replaced[m.Identity] && (!m.Voter || v.safeWithout(m))
	})
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
		return m.Voter && v.Silent[m.Identity] >= SilentAfter && v.safeWithout(m)
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
		return m.Voter && v.Silent[m.Identity] >= RemoveAfter && v.safeWithout(m)
	})
}

// safeWithout returns whether, without the given member, enough voters remain and a majority of them is alive.
func (v View) safeWithout(removed raft.Member) bool {
	voters, alive := 0, 0
	for _, m := range v.Members {
		if !m.Voter || m.Identity == removed.Identity {
			continue
		}
		voters++
		if v.alive(m) {
			alive++
		}
	}
	return voters >= minVoters && alive > voters/2
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
