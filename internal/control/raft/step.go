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
		r.stepOld(m)
		return
	}
	r.dispatch(m)
}

// addressed returns whether m is for this replica with this disk, from one founded together with it.
func (r *core) addressed(m Message) bool {
	return m.To == r.self() && m.From != r.self() && m.Founding == r.config.Founding && m.Group == r.config.Group
}

// adoptTerm moves to the higher term of m and returns whether m counts.
func (r *core) adoptTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteResponse:
		if !m.Reject {
			return true
		}
	case MessageVote:
		if r.leased() && !m.Transfer {
			// A replica that was removed or cut off would depose a working
			// leader again and again; while the leader is heard it is passed over.
			return false
		}
	}
	leader, address := None, ""
	if fromLeader(m.Kind) {
		leader, address = m.From, r.addressOf(m)
	}
	r.follow(m.Term, leader, address)
	return true
}

func fromLeader(k MessageKind) bool {
	return k == MessageAppend || k == MessageHeartbeat || k == MessageSnapshot
}

// stepOld answers messages of earlier terms so that an old leader learns of the new term.
func (r *core) stepOld(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		r.reply(m, Message{Kind: MessageAppendResponse, To: m.From, Reject: true})
	case MessagePreVote:
		r.reply(m, Message{Kind: MessagePreVoteResponse, To: m.From, Reject: true})
	}
}

func (r *core) dispatch(m Message) {
	if fromLeader(m.Kind) {
		if r.role == Leader {
			// Two leaders in one term would both have a quorum; a copy of this
			// identity must be running.
			r.err = ErrDiverged
			return
		}
		r.hear(m)
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
		r.stepAtLeader(m)
	}
}

// addressOf returns where the sender is reached.
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

// hear notes that the leader of the term is alive.
func (r *core) hear(m Message) {
	r.asked = false
	address := r.addressOf(m)
	if r.role != Follower {
		r.follow(r.term, m.From, address)
	}
	r.leader, r.leaderAddress = m.From, address
	r.elapsed = 0
	if m.Kind == MessageSnapshot {
		return
	}
	commit := m.Commit
	if m.Kind == MessageHeartbeat {
		commit = m.Index
	}
	if !r.known {
		r.target = 0
	}
	r.target, r.known = max(r.target, commit), true
}

// reply sends an answer once the disk holds what it promises.
func (r *core) reply(m, answer Message) {
	answer.To = m.From
	r.send(answer)
}
