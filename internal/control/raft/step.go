package raft

// Step implements Core.
func (r *core) Step(m Message) {
	if r.err != nil || !r.addressed(m) {
		return
	}
	if m.Term > r.term && !r.adoptTerm(m) {
		return
	}
	if m.Term < r.term {
		r.stepLowerTerm(m)
		return
	}
	r.dispatch(m)
}

// addressed reports whether m is for this replica with this disk, and from a replica of the same group and founding.
func (r *core) addressed(m Message) bool {
	return m.To == r.self() && m.From != r.self() && m.Founding == r.config.Founding && m.Group == r.config.Group
}

// adoptTerm adopts the higher term of m where needed and reports whether to process m.
func (r *core) adoptTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteResponse:
		if !m.Reject {
			return true
		}
	case MessageVote:
		if r.inLeaderLease() && !m.Transfer {
			// A replica that was removed or partitioned would depose a working
			// leader repeatedly. Its requests are ignored while the leader is active.
			return false
		}
	}
	leader, address := None, ""
	if isFromLeader(m.Kind) {
		leader, address = m.From, r.addressOf(m)
	}
	r.becomeFollower(m.Term, leader, address)
	return true
}

func isFromLeader(k MessageKind) bool {
	return k == MessageAppend || k == MessageHeartbeat || k == MessageSnapshot
}

// stepLowerTerm responds to messages of earlier terms so that a deposed leader learns of the new term.
func (r *core) stepLowerTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		r.reply(m, Message{Kind: MessageAppendResponse, To: m.From, Reject: true})
	case MessagePreVote:
		r.reply(m, Message{Kind: MessagePreVoteResponse, To: m.From, Reject: true})
	}
}

func (r *core) dispatch(m Message) {
	if isFromLeader(m.Kind) {
		if r.role == Leader {
			// Two leaders in one term would both have a quorum. Another process with
			// a copy of this identity must be running.
			r.err = ErrDiverged
			return
		}
		r.recordLeaderContact(m)
	}
	switch m.Kind {
	case MessagePreVote:
		r.stepPreVote(m)
	case MessagePreVoteResponse:
		r.stepPreVoteResponse(m)
	case MessageVote:
		r.stepVote(m)
	case MessageVoteResponse:
		r.stepVoteResponse(m)
	case MessageAppend:
		r.stepAppend(m)
	case MessageHeartbeat:
		r.stepHeartbeat(m)
	case MessageSnapshot:
		r.stepSnapshot(m)
	case MessageTimeoutNow:
		r.stepTimeoutNow(m)
	default:
		r.stepResponse(m)
	}
}

// addressOf returns the sender's address.
func (r *core) addressOf(m Message) string {
	if m.Address != "" {
		return m.Address
	}
	if m.From == r.leader {
		return r.leaderAddress
	}
	sender, _ := r.log.configuration().Member(m.From)
	return sender.Address
}

// recordLeaderContact resets the election timer and records the leader of the term with its commit index.
func (r *core) recordLeaderContact(m Message) {
	r.neededByCandidate = false
	address := r.addressOf(m)
	if r.role != Follower {
		r.becomeFollower(r.term, m.From, address)
	}
	r.leader, r.leaderAddress = m.From, address
	r.electionElapsed = 0
	if m.Kind == MessageSnapshot {
		return
	}
	commit := m.Commit
	if m.Kind == MessageHeartbeat {
		commit = m.Index
	}
	if !r.leaderCommitKnown {
		r.leaderCommit = 0
	}
	r.leaderCommit, r.leaderCommitKnown = max(r.leaderCommit, commit), true
}

// reply queues a response to m that is sent once the state it depends on is persisted.
func (r *core) reply(m, response Message) {
	response.To = m.From
	r.send(response)
}
