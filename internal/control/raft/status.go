package raft

// Status is where a replica stands.
type Status struct {
	// Role is what the replica does in Term.
	Role Role
	// Term is the latest term seen.
	Term uint64
	// Leader is the leader of Term, None while unknown, and LeaderAddress where it is reached.
	Leader        Identity
	LeaderAddress string
	// Commit is the last committed entry, Last the last entry, Snapshot the one that the latest snapshot includes.
	Commit, Last, Snapshot uint64
	// Target is what must be applied for the replica to have caught up, once Heard says that the leader told it.
	Target uint64
	Heard  bool
	// Configuration is the latest one, committed or not; CommittedConfiguration the latest committed one.
	Configuration, CommittedConfiguration Configuration
	// Matches is, at the leader, the last entry known to be on each member's disk.
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
	s.Target, s.Heard = r.target, r.known
	if r.role != Leader {
		return s
	}
	s.Target, s.Heard = r.log.commit, r.log.commit >= r.termStart
	s.Matches = make(map[Identity]uint64, len(r.members)+1)
	for id, p := range r.members {
		s.Matches[id] = p.match
	}
	s.Matches[r.self()] = r.log.stable
	return s
}
