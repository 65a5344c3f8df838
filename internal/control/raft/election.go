package raft

// follow makes the replica a follower in term.
func (r *core) follow(term uint64, leader Identity, address string) {
	if term != r.term {
		r.term, r.vote = term, None
	}
	r.role = Follower
	r.met = r.met || leader != None
	if leader == None || leader != r.leader {
		r.known = false
	}
	r.leader, r.leaderAddress = leader, address
	r.votes, r.members, r.reads = nil, nil, nil
	r.transferee = None
	r.resetTimeout()
}

// campaign starts an election, or with PreCandidate asks whether one could be won.
func (r *core) campaign(role Role, transfer bool) {
	r.role = role
	r.asked = false
	r.leader, r.leaderAddress, r.known = None, "", false
	r.votes = map[Identity]bool{}
	r.members = nil
	kind, term := MessagePreVote, r.term+1
	if role == Candidate {
		r.term, r.vote = term, r.self()
		kind = MessageVote
	}
	r.resetTimeout()
	for _, m := range r.log.configuration().Members {
		if m.Voter && m.Identity != r.self() {
			r.send(Message{Kind: kind, To: m.Identity, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm(), Transfer: transfer})
		}
	}
	r.poll(r.self(), true)
}

// poll records a vote and acts when the election is decided.
func (r *core) poll(from Identity, granted bool) {
	c := r.log.configuration()
	if _, seen := r.votes[from]; seen || !c.Voter(from) {
		// A replica that lost its disk answers under a new identity, which is
		// no voter; its vote would let two leaders have a quorum in one term.
		return
	}
	r.votes[from] = granted
	yes := 0
	for _, g := range r.votes {
		if g {
			yes++
		}
	}
	if yes >= c.Quorum() {
		r.won()
		return
	}
	if len(r.votes)-yes > c.Voters()-c.Quorum() {
		r.follow(r.term, None, "")
	}
}

func (r *core) won() {
	if r.role == PreCandidate {
		r.campaign(Candidate, false)
		return
	}
	r.lead()
}

// leased returns whether a leader was heard so recently that no election is due.
func (r *core) leased() bool {
	return r.leader != None && r.elapsed < r.config.ElectionTicks
}

// stepPreVote answers whether the sender could get this replica's vote.
func (r *core) stepPreVote(m Message) {
	behind := !r.log.upToDate(m.Index, m.LogTerm)
	granted := m.Term > r.term && !r.leased() && !behind
	r.asked = r.asked || behind && !r.leased()
	answer := Message{Kind: MessagePreVoteResponse, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		answer.Term = r.term
	}
	r.reply(m, answer)
}

// stepVote grants the vote of the term to the first candidate that has the whole log.
func (r *core) stepVote(m Message) {
	free := r.vote == None && r.leader == None || r.vote == m.From
	granted := m.Term == r.term && free && r.log.upToDate(m.Index, m.LogTerm)
	if granted {
		r.vote = m.From
		r.elapsed = 0
	}
	r.reply(m, Message{Kind: MessageVoteResponse, To: m.From, Reject: !granted})
}

func (r *core) stepPreVoteResponse(m Message) {
	if r.role != PreCandidate || !m.Reject && m.Term != r.term+1 {
		return
	}
	r.poll(m.From, !m.Reject)
}

func (r *core) stepVoteResponse(m Message) {
	if r.role != Candidate || m.Term != r.term {
		return
	}
	r.poll(m.From, !m.Reject)
}

// stepTimeoutNow campaigns at once: the leader hands over.
func (r *core) stepTimeoutNow(m Message) {
	if m.From == r.leader && r.log.configuration().Voter(r.self()) {
		r.campaign(Candidate, true)
	}
}
