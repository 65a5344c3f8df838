package raft

// stepResponse handles a member's response at the leader.
func (r *core) stepResponse(m Message) {
	p, ok := r.members[m.From]
	if r.role != Leader || !ok {
		return
	}
	p.active = true
	if m.Round > p.round && m.Round <= r.round {
		p.round = m.Round
		r.confirmReads()
	}
	switch m.Kind {
	case MessageAppendResponse:
		r.stepAppendResponse(m, p)
	case MessageHeartbeatResponse:
		r.stepHeartbeatResponse(m, p)
	case MessageSnapshotResponse:
		r.stepSnapshotResponse(m, p)
	}
}

func (r *core) stepAppendResponse(m Message, p *progress) {
	if m.Reject {
		if m.Index < p.match || m.Index > r.log.last() || p.state == sendingSnapshot || p.state == probing && m.Index != p.next-1 {
			return
		}
		p.responded = true
		p.probe(min(m.Index, m.Hint+1))
		r.sendEntries(m.From, p)
		return
	}
	if m.Index > r.log.last() {
		return
	}
	advanced := p.acknowledge(m.Index)
	if p.state == probing || p.state == sendingSnapshot && m.Index >= p.meta.Index {
		p.state = replicating
		p.sent = nil
		p.next = max(p.match+1, m.Index+1)
	}
	if advanced {
		r.advanceCommit()
	}
	if r.role != Leader {
		return
	}
	r.sendEntries(m.From, p)
	r.finishTransfer(m.From, p)
}

// stepHeartbeatResponse resends what is presumed lost: the member responds to heartbeats, but not to the appends or chunks sent to it.
func (r *core) stepHeartbeatResponse(m Message, p *progress) {
	if p.unansweredIntervals < resendAfter {
		return
	}
	p.unansweredIntervals = 0
	if p.state == sendingSnapshot {
		p.offset = p.requestedOffset
		r.sendChunk(m.From, p)
		return
	}
	p.probe(p.match + 1)
	r.sendEntries(m.From, p)
}

// startSnapshot begins to send the latest snapshot because the entries that the member needs are compacted.
func (r *core) startSnapshot(id Identity, p *progress) {
	p.state = sendingSnapshot
	p.meta = r.log.snapshot
	p.offset, p.requestedOffset = 0, 0
	p.sent = nil
	r.sendChunk(id, p)
}

// sendChunk queues a snapshot message; the sender reads the chunk from disk and adds it.
func (r *core) sendChunk(id Identity, p *progress) {
	if p.meta.Index < r.log.snapshot.Index {
		// The older snapshot is no longer on disk.
		p.meta = r.log.snapshot
		p.offset, p.requestedOffset = 0, 0
	}
	meta := p.meta
	r.sendEarly(Message{Kind: MessageSnapshot, To: id, Snapshot: &meta, Offset: p.offset})
}

// stepSnapshotResponse sends the chunk that the member requests.
//
// A response that requests an earlier chunk may be outdated, or come from a
// member that restarted and received a delayed duplicate of the first chunks.
// Going back at once would send every chunk several times; never going back
// would leave that member without the snapshot. The offset is therefore
// recorded, and used once the transfer makes no progress.
func (r *core) stepSnapshotResponse(m Message, p *progress) {
	if p.state != sendingSnapshot || m.Index != p.meta.Index || m.Offset >= p.meta.Size {
		return
	}
	p.requestedOffset = m.Offset
	if m.Offset <= p.offset && m.Offset != 0 {
		return
	}
	p.responded = true
	p.offset = m.Offset
	r.sendChunk(m.From, p)
}
