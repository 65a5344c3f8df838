package raft

// Tick implements Core.
func (r *core) Tick() {
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.electionElapsed < r.electionTimeout {
		return
	}
	if !r.mayCampaign() {
		r.becomeFollower(r.term, None, "")
		return
	}
	r.campaign(PreCandidate, false)
}

// mayCampaign reports whether the replica may campaign: it is a voter, was one
// before a change that may be uncommitted, or refused a pre-vote of a candidate
// that considers it a voter and whose log is behind.
//
// A replica that is removed in its own log, or a learner, may be the only one
// with a leader's last entries. Candidates that need its vote can't win without
// these entries, and no other replica may have a quorum. It has to lead until
// they are committed. It counts only the votes of the voters in its log, so not
// its own.
func (r *core) mayCampaign() bool {
	return r.neededByCandidate || r.log.configuration().Voter(r.self()) || r.log.configurationAt(r.log.commit).Voter(r.self())
}

func (r *core) tickLeader() {
	r.heartbeatElapsed++
	if r.electionElapsed >= r.config.ElectionTicks {
		r.electionElapsed = 0
		r.transferee = None
		if !r.quorumActive() {
			// Check-quorum: a partitioned leader would keep accepting edits that
			// can't commit, and callers would wait for it. It steps down instead.
			r.becomeFollower(r.term, None, "")
			return
		}
	}
	r.sinceResponseCheck++
	if r.sinceResponseCheck >= r.config.HeartbeatTicks {
		r.checkResponses()
	}
	if r.heartbeatElapsed >= r.config.HeartbeatTicks {
		r.heartbeat()
	}
}

// checkResponses counts for how many heartbeat intervals each member has not responded to an append or chunk.
//
// It has its own tick counter, because heartbeats for reads restart the
// heartbeat interval. Under steady reads a lost append would otherwise never be
// detected, and the member would never catch up.
func (r *core) checkResponses() {
	r.sinceResponseCheck = 0
	for _, p := range r.members {
		p.unansweredIntervals++
		if p.responded || p.state == replicating && p.match >= r.log.last() {
			p.unansweredIntervals = 0
		}
		p.responded = false
	}
}

// quorumActive reports whether a quorum responded since the last call.
func (r *core) quorumActive() bool {
	active := r.countVoters(func(id Identity, p *progress) bool { return p.active })
	for _, p := range r.members {
		p.active = false
	}
	return active >= r.log.configuration().Quorum()
}

// countVoters returns how many voters satisfy the condition; the leader itself always does.
func (r *core) countVoters(condition func(Identity, *progress) bool) int {
	n := 0
	for _, m := range r.log.configuration().Members {
		if !m.Voter {
			continue
		}
		if m.Identity == r.self() {
			n++
			continue
		}
		if p, ok := r.members[m.Identity]; ok && condition(m.Identity, p) {
			n++
		}
	}
	return n
}
