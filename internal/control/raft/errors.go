package raft

import "errors"

var (
	// ErrNotLeader says that only the leader takes this and that nothing was appended.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrTransferring says that the leader is handing over and that nothing was appended.
	ErrTransferring = errors.New("raft: leadership is being handed over")
	// ErrChangePending says that an earlier membership change, or the leader's first entry, is not committed yet.
	ErrChangePending = errors.New("raft: an earlier change is not committed yet")
	// ErrNotCaughtUp says that a learner lacks committed entries and can't become a voter.
	ErrNotCaughtUp = errors.New("raft: the learner has not caught up")
	// ErrSeveralVoters says that a change would add or drop more than one voter.
	ErrSeveralVoters = errors.New("raft: more than one voter would change")
	// ErrUnknownMember says that no member has the identity.
	ErrUnknownMember = errors.New("raft: no such member")
	// ErrLastVoter says that the last voter can't be removed.
	ErrLastVoter = errors.New("raft: the last voter can't be removed")
	// ErrDiverged says that a leader asked to overwrite a committed entry; the log must not be trusted.
	ErrDiverged = errors.New("raft: a committed entry would be overwritten")
)
