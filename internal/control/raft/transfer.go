package raft

// TransferLeadership implements Core.
func (r *core) TransferLeadership() bool {
	if r.role != Leader {
		return false
	}
	best := None
	for _, m := range r.log.configuration().Members {
		p, ok := r.members[m.Identity]
		if !ok || !m.Voter || !p.active {
			continue
		}
		if best == None || p.match > r.members[best].match {
			best = m.Identity
		}
	}
	if best == None {
		return false
	}
	r.transferee = best
	r.electionElapsed = 0
	r.finishTransfer(best, r.members[best])
	return true
}

// finishTransfer asks the transferee to campaign once it has the whole log.
func (r *core) finishTransfer(id Identity, p *progress) {
	if id == r.transferee && p.match == r.log.last() {
		r.sendEarly(Message{Kind: MessageTimeoutNow, To: id})
	}
}
