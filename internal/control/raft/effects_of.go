package raft

// Effects implements Core.
func (r *core) Effects() Effects {
	r.openRound()
	e := Effects{Install: r.install, Messages: r.messages, Reads: r.confirmed}
	if hard := (HardState{Term: r.term, Vote: r.vote}); hard != r.saved {
		e.HardState = &hard
	}
	e.Early = r.early
	if e.HardState != nil {
		// A leader that crashes before its term is on disk could lead the same
		// term a second time with other entries; nothing leaves before that.
		e.Early, e.Messages = nil, append(r.early, r.messages...)
	}
	e.Entries = r.log.slice(r.log.stable+1, r.log.last())
	r.taken = r.log.last()
	r.early, r.messages, r.install, r.confirmed = nil, nil, nil, nil
	e.Committed = r.hand()
	return e
}

// hand returns the committed entries that are on disk and not handed out yet.
func (r *core) hand() []Entry {
	end := min(r.log.commit, r.log.stable)
	if end <= r.log.handed {
		return nil
	}
	entries := r.log.slice(r.log.handed+1, end)
	r.log.handed = end
	return entries
}

// Persisted implements Core.
func (r *core) Persisted() {
	r.saved = HardState{Term: r.term, Vote: r.vote}
	r.log.stable = r.taken
	if r.role == Leader {
		r.advanceCommit()
	}
}
