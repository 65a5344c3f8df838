package raft

// Change returns the configuration that follows the latest one.
type Change func(latest Configuration) (Configuration, error)

// Change implements Core.
//
// Two changes at once could give two disjoint quorums, and a change before the
// leader's first entry is committed could overlap with one of an earlier
// leader; both are refused.
func (r *core) Change(change Change) (index, term uint64, err error) {
	if err := r.writable(); err != nil {
		return 0, 0, err
	}
	if r.log.configured() > r.log.commit || r.log.commit < r.termStart {
		return 0, 0, ErrChangePending
	}
	next, err := change(r.log.configuration())
	if err != nil {
		return 0, 0, err
	}
	if err := r.single(r.log.configuration(), next); err != nil {
		return 0, 0, err
	}
	index = r.appendEntries(Entry{Kind: EntryConfiguration, Data: next.encode()})
	r.track()
	r.broadcast()
	return index, r.term, nil
}

// single returns an error unless the change keeps a voter, adds at most one that has caught up, and drops at most one.
func (r *core) single(latest, next Configuration) error {
	if next.Voters() == 0 {
		return ErrLastVoter
	}
	changed := 0
	for _, m := range next.Members {
		if !m.Voter || latest.Voter(m.Identity) {
			continue
		}
		changed++
		if r.matchOf(m.Identity) < r.log.commit {
			return ErrNotCaughtUp
		}
	}
	for _, m := range latest.Members {
		if m.Voter && !next.Voter(m.Identity) {
			changed++
		}
	}
	if changed > 1 {
		return ErrSeveralVoters
	}
	return nil
}

// finishChange steps down when a committed configuration no longer has the leader as a voter.
func (r *core) finishChange(c Configuration) {
	if r.log.configured() > r.log.commit || c.Voter(r.self()) {
		return
	}
	r.broadcastCommit()
	r.follow(r.term, None, "")
}

// AddLearner returns a Change that adds m without a vote; an identity that is a member already only gets m's name and address.
func AddLearner(m Member) Change {
	return func(latest Configuration) (Configuration, error) {
		m.Voter = latest.Voter(m.Identity)
		return latest.With(m), nil
	}
}

// Promote returns a Change that makes a learner a voter.
func Promote(id Identity) Change {
	return func(latest Configuration) (Configuration, error) {
		m, ok := latest.Member(id)
		if !ok {
			return Configuration{}, ErrUnknownMember
		}
		m.Voter = true
		return latest.With(m), nil
	}
}

// Remove returns a Change that drops a member.
func Remove(id Identity) Change {
	return func(latest Configuration) (Configuration, error) {
		if _, ok := latest.Member(id); !ok {
			return Configuration{}, ErrUnknownMember
		}
		return latest.Without(id), nil
	}
}
