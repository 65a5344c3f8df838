package admission

import (
	"slices"
	"time"

	"hornbeamwood/internal/control/raft"
)

// View is the leader's knowledge of the group on which Next decides.
type View struct {
	// Self is the leader's identity.
	Self raft.Identity
	// Members are the members of the latest committed configuration.
	Members []raft.Member
	// Matches is the index of the last entry on each member's disk.
	Matches map[raft.Identity]uint64
	// Commit is the index of the last committed entry.
	Commit uint64
	// Silent is how long ago each member last answered under its identity.
	Silent map[raft.Identity]time.Duration
	// Replaced is true for members at whose address another identity answered.
	Replaced map[raft.Identity]bool
}

// alive returns whether the member answered recently under its identity.
func (v View) alive(m raft.Member) bool {
	return m.Identity == v.Self || !v.replaced(m) && v.Silent[m.Identity] < SilentAfter
}

// replaced returns whether another identity has answered at the member's address
// or has joined from there. A probe of the new process may fail after it has joined.
func (v View) replaced(m raft.Member) bool {
	return v.Replaced[m.Identity] || m.Voter && slices.ContainsFunc(v.Members, func(o raft.Member) bool {
		return !o.Voter && o.Address != "" && o.Address == m.Address
	})
}

func (v View) voters() int {
	n := 0
	for _, m := range v.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

func (v View) aliveVoters() int {
	n := 0
	for _, m := range v.Members {
		if m.Voter && v.alive(m) {
			n++
		}
	}
	return n
}

// promotable returns a learner that could become a voter, and whether there is one.
func (v View) promotable() (raft.Member, bool) {
	for _, m := range v.Members {
		if !m.Voter && v.alive(m) && v.caughtUp(m) {
			return m, true
		}
	}
	return raft.Member{}, false
}

// caughtUp returns whether the member's disk holds any entries and lacks at most maxLag committed ones.
func (v View) caughtUp(m raft.Member) bool {
	return v.Matches[m.Identity]+maxLag >= v.Commit && v.Matches[m.Identity] > 0
}
