package raft

import "slices"

// becomeLeader makes the candidate the leader of its term.
func (r *core) becomeLeader() {
	r.leaderSeen = true
	r.role = Leader
	r.leader, r.leaderAddress = r.self(), r.config.Self.Address
	r.electionElapsed, r.heartbeatElapsed, r.sinceResponseCheck = 0, 0, 0
	r.members = map[Identity]*progress{}
	r.reads = nil
	r.transferee = None
	r.appendEntries(Entry{Kind: EntryNoop})
	r.termStart = r.log.last()
	r.trackMembers()
	r.broadcast()
}

// trackMembers keeps a progress for each other member of the latest configuration.
func (r *core) trackMembers() {
	c := r.log.configuration()
	for id := range r.members {
		if _, ok := c.Member(id); !ok {
			delete(r.members, id)
		}
	}
	for _, m := range c.Members {
		if _, ok := r.members[m.Identity]; !ok && m.Identity != r.self() {
			r.members[m.Identity] = &progress{next: max(1, r.log.last()), active: true}
		}
	}
}

// appendEntries assigns index and term to entries, appends them, and returns the index of the first.
func (r *core) appendEntries(entries ...Entry) uint64 {
	first := r.log.last() + 1
	for i := range entries {
		entries[i].Index = first + uint64(i)
		entries[i].Term = r.term
	}
	r.log.append(entries)
	return first
}

// Propose implements Core.
func (r *core) Propose(commands [][]byte) (index, term uint64, err error) {
	if err := r.checkWritable(); err != nil {
		return 0, 0, err
	}
	entries := make([]Entry, len(commands))
	for i, c := range commands {
		entries[i] = Entry{Kind: EntryCommand, Data: c}
	}
	first := r.appendEntries(entries...)
	r.broadcast()
	return first, r.term, nil
}

func (r *core) checkWritable() error {
	if r.role != Leader || r.err != nil {
		return ErrNotLeader
	}
	if r.transferee != None {
		return ErrTransferring
	}
	return nil
}

// broadcast sends each member the entries that it lacks.
func (r *core) broadcast() {
	for _, m := range r.log.configuration().Members {
		if p, ok := r.members[m.Identity]; ok {
			r.sendEntries(m.Identity, p)
		}
	}
}

// sendEntries sends a member as many batches as flow control allows.
func (r *core) sendEntries(id Identity, p *progress) {
	for p.next <= r.log.last() || p.state == probing && len(p.sent) == 0 {
		if p.state == sendingSnapshot || len(p.sent) >= r.maxInflight(p) {
			return
		}
		previous := p.next - 1
		t, ok := r.log.term(previous)
		if !ok {
			r.startSnapshot(id, p)
			return
		}
		entries := r.log.batch(p.next, r.config.BatchBytes)
		last := previous + uint64(len(entries))
		r.sendEarly(Message{Kind: MessageAppend, To: id, Index: previous, LogTerm: t, Entries: entries, Commit: r.log.commit, Round: r.round})
		p.sent = append(p.sent, last)
		if p.state == probing {
			return
		}
		p.next = last + 1
	}
}

// maxInflight returns how many appends to a member may be unacknowledged.
func (r *core) maxInflight(p *progress) int {
	if p.state == probing {
		return 1
	}
	return r.config.Inflight
}

// heartbeat sends a heartbeat to each member.
func (r *core) heartbeat() {
	r.heartbeatElapsed = 0
	for _, m := range r.log.configuration().Members {
		if p, ok := r.members[m.Identity]; ok {
			r.sendEarly(Message{Kind: MessageHeartbeat, To: m.Identity, Index: r.log.commit, Commit: min(p.match, r.log.commit), Round: r.round})
		}
	}
}

// advanceCommit commits the entries that a quorum has on disk, counting replicas only for entries of the leader's own term.
//
// An entry of an earlier term that a quorum has can still be overwritten by a
// leader that lacks it. Committing it by counting could lose an accepted command.
func (r *core) advanceCommit() {
	c := r.log.configuration()
	matches := make([]uint64, 0, len(c.Members))
	for _, m := range c.Members {
		if !m.Voter {
			continue
		}
		matches = append(matches, r.matchOf(m.Identity))
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.Quorum()]
	if index <= r.log.commit || !r.log.matches(index, r.term) {
		return
	}
	r.log.commit = index
	r.confirmReads()
	r.stepDownIfRemoved(c)
	if r.role == Leader {
		r.broadcastCommit()
	}
}

func (r *core) matchOf(id Identity) uint64 {
	if id == r.self() {
		return r.log.stable
	}
	if p, ok := r.members[id]; ok {
		return p.match
	}
	return 0
}

// broadcastCommit sends a new commit index to idle members without waiting for the next heartbeat.
func (r *core) broadcastCommit() {
	for _, m := range r.log.configuration().Members {
		if p, ok := r.members[m.Identity]; ok && p.state == replicating && len(p.sent) == 0 {
			r.sendEarly(Message{Kind: MessageHeartbeat, To: m.Identity, Index: r.log.commit, Commit: min(p.match, r.log.commit), Round: r.round})
		}
	}
}
