package raft

// Change derives the next configuration from the latest one.
type Change func(latest Configuration) (Configuration, error)

// Change implements Core.
//
// Two concurrent changes could result in two disjoint quorums. A change before
// the leader's first entry is committed could overlap with one of an earlier
// leader. Both are refused.
func (r *core) Change(change Change) (index, term uint64, err error) {
	if err := r.checkWritable(); err != nil {
		return 0, 0, err
	}
	if r.log.configurationIndex() > r.log.commit || r.log.commit < r.termStart {
		return 0, 0, ErrChangePending
	}
	next, err := change(r.log.configuration())
	if err != nil {
		return 0, 0, err
	}
	if err := r.checkSingleVoterChange(r.log.configuration(), next); err != nil {
		return 0, 0, err
	}
	index = r.appendEntries(Entry{Kind: EntryConfiguration, Data: next.encode()})
	r.trackMembers()
	r.broadcast()
	return index, r.term, nil
}

// checkSingleVoterChange returns an error unless at least one voter remains, at
// most one voter is added or removed, and an added one has caught up.
func (r *core) checkSingleVoterChange(latest, next Configuration) error {
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

// stepDownIfRemoved steps down when the committed configuration no longer has the leader as a voter.
func (r *core) stepDownIfRemoved(c Configuration) {
	if r.log.configurationIndex() > r.log.commit || c.Voter(r.self()) {
		return
	}
	r.broadcastCommit()
	r.becomeFollower(r.term, None, "")
}

// AddLearner returns a Change that adds m as a learner. For an existing member it only updates the name and address.
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

// Remove returns a Change that removes a member.
func Remove(id Identity) Change {
	return func(latest Configuration) (Configuration, error) {
		if _, ok := latest.Member(id); !ok {
			return Configuration{}, ErrUnknownMember
		}
		return latest.Without(id), nil
	}
}
