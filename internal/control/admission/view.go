package admission

import (
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
	return m.Identity == v.Self || !v.Replaced[m.Identity] && v.Silent[m.Identity] < SilentAfter
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

// caughtUp returns whether the member's disk holds any entries and lacks at most maxLag committed ones.
func (v View) caughtUp(m raft.Member) bool {
	return v.Matches[m.Identity]+maxLag >= v.Commit && v.Matches[m.Identity] > 0
}
