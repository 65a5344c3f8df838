package raft

// Status is the current state of a replica.
type Status struct {
	// Role is the replica's role in Term.
	Role Role
	// Term is the latest term seen.
	Term uint64
	// Leader is the leader of Term, None while unknown, and LeaderAddress its address.
	Leader        Identity
	LeaderAddress string
	// Commit is the last committed entry, Last the last entry, Snapshot the last entry in the latest snapshot.
	Commit, Last, Snapshot uint64
	// LeaderCommit is the leader's commit index, which must be applied for the replica to have caught up.
	// LeaderCommitKnown is set once it was received in this term.
	LeaderCommit      uint64
	LeaderCommitKnown bool
	// Configuration is the latest configuration, committed or not; CommittedConfiguration the latest committed one.
	Configuration, CommittedConfiguration Configuration
	// Matches is the last entry known to be on each member's disk; only the leader sets it.
	Matches map[Identity]uint64
}

// Status implements Core.
func (r *core) Status() Status {
	s := Status{
		Role: r.role, Term: r.term, Leader: r.leader, LeaderAddress: r.leaderAddress,
		Commit: r.log.commit, Last: r.log.last(), Snapshot: r.log.snapshot.Index,
		Configuration:          r.log.configuration(),
		CommittedConfiguration: r.log.configurationAt(r.log.commit),
	}
	s.LeaderCommit, s.LeaderCommitKnown = r.leaderCommit, r.leaderCommitKnown
	if r.role != Leader {
		return s
	}
	s.LeaderCommit, s.LeaderCommitKnown = r.log.commit, r.log.commit >= r.termStart
	s.Matches = make(map[Identity]uint64, len(r.members)+1)
	for id, p := range r.members {
		s.Matches[id] = p.match
	}
	s.Matches[r.self()] = r.log.stable
	return s
}
