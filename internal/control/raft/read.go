package raft

// pendingRead is a read that waits for a quorum to acknowledge a heartbeat round that started after the read arrived.
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
	r.roundRequested = true
	return nil
}

// startReadRound sends one round of heartbeats for all reads that arrived since the last round.
func (r *core) startReadRound() {
	if !r.roundRequested || r.role != Leader {
		r.roundRequested = false
		return
	}
	r.roundRequested = false
	r.round++
	r.heartbeat()
	r.confirmReads()
}

// confirmReads confirms the reads whose round a quorum has acknowledged.
//
// A leader whose process was suspended while another leader was elected would
// serve stale state. A quorum that responds in its term proves that there was no
// newer leader when the round began. The leader's own first entry must be
// committed, because only then does it know everything that earlier leaders
// committed.
func (r *core) confirmReads() {
	if r.log.commit < r.termStart {
		return
	}
	for len(r.reads) > 0 {
		read := r.reads[0]
		n := r.countVoters(func(_ Identity, p *progress) bool { return p.round >= read.round })
		if read.round > r.round || n < r.log.configuration().Quorum() {
			return
		}
		r.confirmed = append(r.confirmed, ReadState{ID: read.id, Index: r.log.commit})
		r.reads = r.reads[1:]
	}
}
