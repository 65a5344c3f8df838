package raft

// becomeFollower makes the replica a follower in term.
func (r *core) becomeFollower(term uint64, leader Identity, address string) {
	if term != r.term {
		r.term, r.vote = term, None
	}
	r.role = Follower
	r.leaderSeen = r.leaderSeen || leader != None
	if leader == None || leader != r.leader {
		r.leaderCommitKnown = false
	}
	r.leader, r.leaderAddress = leader, address
	r.votes, r.members, r.reads = nil, nil, nil
	r.transferee = None
	r.resetTimeout()
}

// campaign starts an election, or a pre-vote if role is PreCandidate.
func (r *core) campaign(role Role, transfer bool) {
	r.role = role
	r.neededByCandidate = false
	r.leader, r.leaderAddress, r.leaderCommitKnown = None, "", false
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
	r.recordVote(r.self(), true)
}

// recordVote records a vote and changes the role when the election is decided.
func (r *core) recordVote(from Identity, granted bool) {
	c := r.log.configuration()
	if _, seen := r.votes[from]; seen || !c.Voter(from) {
		// A replica that lost its disk responds under a new identity, which is not
		// a voter. Counting it could give two leaders a quorum in one term.
		return
	}
	r.votes[from] = granted
	grants := 0
	for _, g := range r.votes {
		if g {
			grants++
		}
	}
	if grants >= c.Quorum() {
		r.winElection()
		return
	}
	if len(r.votes)-grants > c.Voters()-c.Quorum() {
		r.becomeFollower(r.term, None, "")
	}
}

func (r *core) winElection() {
	if r.role == PreCandidate {
		r.campaign(Candidate, false)
		return
	}
	r.becomeLeader()
}

// inLeaderLease reports whether the last contact with the leader is within the minimum election timeout.
func (r *core) inLeaderLease() bool {
	return r.leader != None && r.electionElapsed < r.config.ElectionTicks
}

// stepPreVote responds whether the sender would get this replica's vote.
func (r *core) stepPreVote(m Message) {
	behind := !r.log.upToDate(m.Index, m.LogTerm)
	granted := m.Term > r.term && !r.inLeaderLease() && !behind
	r.neededByCandidate = r.neededByCandidate || behind && !r.inLeaderLease()
	response := Message{Kind: MessagePreVoteResponse, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		response.Term = r.term
	}
	r.reply(m, response)
}

// stepVote grants the vote of the term to the first candidate whose log is up to date.
func (r *core) stepVote(m Message) {
	canVote := r.vote == None && r.leader == None || r.vote == m.From
	granted := m.Term == r.term && canVote && r.log.upToDate(m.Index, m.LogTerm)
	if granted {
		r.vote = m.From
		r.electionElapsed = 0
	}
	r.reply(m, Message{Kind: MessageVoteResponse, To: m.From, Reject: !granted})
}

func (r *core) stepPreVoteResponse(m Message) {
	if r.role != PreCandidate || !m.Reject && m.Term != r.term+1 {
		return
	}
	r.recordVote(m.From, !m.Reject)
}

func (r *core) stepVoteResponse(m Message) {
	if r.role != Candidate || m.Term != r.term {
		return
	}
	r.recordVote(m.From, !m.Reject)
}

// stepTimeoutNow starts an election at once, on a leadership transfer.
func (r *core) stepTimeoutNow(m Message) {
	if m.From == r.leader && r.log.configuration().Voter(r.self()) {
		r.campaign(Candidate, true)
	}
}
