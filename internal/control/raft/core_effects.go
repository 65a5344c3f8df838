package raft

// Effects implements Core.
func (r *core) Effects() Effects {
	r.startReadRound()
	e := Effects{Install: r.install, Messages: r.messages, Reads: r.confirmed}
	if hardState := (HardState{Term: r.term, Vote: r.vote}); hardState != r.persistedState {
		e.HardState = &hardState
	}
	e.Early = r.early
	if e.HardState != nil {
		// A leader that crashes before its term is on disk could be elected in the
		// same term again and append different entries. No message may be sent
		// before the term is persisted.
		e.Early, e.Messages = nil, append(r.early, r.messages...)
	}
	e.Entries = r.log.slice(r.log.stable+1, r.log.last())
	r.persistingIndex = r.log.last()
	r.early, r.messages, r.install, r.confirmed = nil, nil, nil, nil
	e.Committed = r.takeCommitted()
	return e
}

// takeCommitted returns the committed entries that are on disk and were not returned to be applied before.
func (r *core) takeCommitted() []Entry {
	end := min(r.log.commit, r.log.stable)
	if end <= r.log.applying {
		return nil
	}
	entries := r.log.slice(r.log.applying+1, end)
	r.log.applying = end
	return entries
}

// Persisted implements Core.
func (r *core) Persisted() {
	r.persistedState = HardState{Term: r.term, Vote: r.vote}
	r.log.stable = r.persistingIndex
	if r.role == Leader {
		r.advanceCommit()
	}
}
