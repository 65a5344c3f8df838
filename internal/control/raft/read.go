package raft

// pendingRead waits until a quorum answered a heartbeat that was sent after the read came.
type pendingRead struct {
	id    uint64
	round uint64
}

// Read implements Core.
func (r *core) Read(id uint64) error {
	if r.role != Leader || r.err != nil {
		return ErrNotLeader
	}
	r.reads = append(r.reads, pendingRead{id: id, round: r.round + 1})
	r.roundWanted = true
	return nil
}

// openRound sends one round of heartbeats for all reads that came since the last one.
func (r *core) openRound() {
	if !r.roundWanted || r.role != Leader {
		r.roundWanted = false
		return
	}
	r.roundWanted = false
	r.round++
	r.heartbeat()
	r.confirmReads()
}

// confirmReads confirms the reads whose round a quorum has answered.
//
// A leader that was frozen while another one was elected would serve old state
// as fresh; a quorum that answers in its term proves that there was no other
// when the round began. Its own first entry must be covered, because only then
// does it know all that earlier leaders committed.
func (r *core) confirmReads() {
	if r.log.commit < r.termStart {
		return
	}
	for len(r.reads) > 0 {
		read := r.reads[0]
		n := r.count(func(_ Identity, p *progress) bool { return p.round >= read.round })
		if read.round > r.round || n < r.log.configuration().Quorum() {
			return
		}
		r.confirmed = append(r.confirmed, ReadState{ID: read.id, Index: r.log.commit})
		r.reads = r.reads[1:]
	}
}
