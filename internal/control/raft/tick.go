package raft

// Tick implements Core.
func (r *core) Tick() {
	r.elapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.elapsed < r.timeout {
		return
	}
	if !r.eligible() {
		r.follow(r.term, None, "")
		return
	}
	r.campaign(PreCandidate, false)
}

// eligible returns whether the replica campaigns: it is a voter, was one before
// a change that may not be committed, or was taken for one by a candidate that
// it had to refuse.
//
// A replica that is removed in its own log, or a learner, may be the only one
// with a leader's last entries. Candidates that need its vote can't win without
// them, and nobody else may have a quorum; it has to lead until they are
// committed. It counts only the votes of the voters in its log, so not its own.
func (r *core) eligible() bool {
	return r.asked || r.log.configuration().Voter(r.self()) || r.log.configurationAt(r.log.commit).Voter(r.self())
}

func (r *core) tickLeader() {
	r.beat++
	if r.elapsed >= r.config.ElectionTicks {
		r.elapsed = 0
		r.transferee = None
		if !r.quorumActive() {
			// A leader that is cut off would go on taking edits that can't
			// commit and callers would wait for it; it gives up instead.
			r.follow(r.term, None, "")
			return
		}
	}
	r.sinceWatch++
	if r.sinceWatch >= r.config.HeartbeatTicks {
		r.watch()
	}
	if r.beat >= r.config.HeartbeatTicks {
		r.heartbeat()
	}
}

// watch counts for how many heartbeat intervals each member has answered nothing that it was sent.
//
// It has a clock of its own: reads send heartbeats too and begin their
// interval anew. Under steady reads a lost append would otherwise never be
// counted as lost, and the member would never catch up.
func (r *core) watch() {
	r.sinceWatch = 0
	for _, p := range r.members {
		p.quiet++
		if p.moved || p.state == replicating && p.match >= r.log.last() {
			p.quiet = 0
		}
		p.moved = false
	}
}

// quorumActive returns whether a quorum answered since the last call.
func (r *core) quorumActive() bool {
	active := r.count(func(id Identity, p *progress) bool { return p.active })
	for _, p := range r.members {
		p.active = false
	}
	return active >= r.log.configuration().Quorum()
}

// count returns how many voters satisfy the condition; the leader itself always does.
func (r *core) count(condition func(Identity, *progress) bool) int {
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
