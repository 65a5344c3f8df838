package raft

// Role is what a replica does in its term.
type Role uint8

const (
	// Follower takes entries from a leader.
	Follower Role = iota
	// PreCandidate asks whether it could win an election, without a new term.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader orders the log.
	Leader
)

var roles = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the role's name in status and logs.
func (r Role) String() string {
	return roles[r]
}
