package raft

import "errors"

var (
	// ErrNotLeader means that the replica is not the leader and appended nothing.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrTransferring means that a leadership transfer is in progress and that nothing was appended.
	ErrTransferring = errors.New("raft: a leadership transfer is in progress")
	// ErrChangePending means that an earlier membership change, or the leader's first entry, is not committed yet.
	ErrChangePending = errors.New("raft: an earlier change is not committed yet")
	// ErrNotCaughtUp means that a learner lacks committed entries and can't become a voter.
	ErrNotCaughtUp = errors.New("raft: the learner has not caught up")
	// ErrSeveralVoters means that a change would add or remove more than one voter.
	ErrSeveralVoters = errors.New("raft: more than one voter would change")
	// ErrUnknownMember means that no member has the identity.
	ErrUnknownMember = errors.New("raft: no such member")
	// ErrLastVoter means that the last voter can't be removed.
	ErrLastVoter = errors.New("raft: the last voter can't be removed")
	// ErrDiverged means that another leader is active in this leader's term, so that
	// committed entries could be overwritten; the log is not safe to use.
	ErrDiverged = errors.New("raft: two leaders in one term, a committed entry would be overwritten")
)
