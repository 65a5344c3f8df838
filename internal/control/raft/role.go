package raft

// Role is a replica's role in its term.
type Role uint8

const (
	// Follower accepts entries from a leader.
	Follower Role = iota
	// PreCandidate checks whether it could win an election, without a new term.
	PreCandidate
	// Candidate requests votes.
	Candidate
	// Leader appends and replicates entries.
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the role's name as shown in status and logs.
func (r Role) String() string {
	return roleNames[r]
}
