package raft

// stepAtLeader takes a member's answer.
func (r *core) stepAtLeader(m Message) {
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
		if m.Index < p.match || m.Index > r.log.last() || p.state == restoring || p.state == probing && m.Index != p.next-1 {
			return
		}
		p.moved = true
		p.probe(min(m.Index, m.Hint+1))
		r.sendEntries(m.From, p)
		return
	}
	if m.Index > r.log.last() {
		return
	}
	news := p.acknowledge(m.Index)
	if p.state == probing || p.state == restoring && m.Index >= p.meta.Index {
		p.state = replicating
		p.sent = nil
		p.next = max(p.match+1, m.Index+1)
	}
	if news {
		r.advanceCommit()
	}
	if r.role != Leader {
		return
	}
	r.sendEntries(m.From, p)
	r.finishTransfer(m.From, p)
}

// stepHeartbeatResponse sends again what seems to be lost: the member answers, but not what it was sent.
func (r *core) stepHeartbeatResponse(m Message, p *progress) {
	if p.quiet < resendAfter {
		return
	}
	p.quiet = 0
	if p.state == restoring {
		p.offset = p.wanted
		r.sendChunk(m.From, p)
		return
	}
	p.probe(p.match + 1)
	r.sendEntries(m.From, p)
}

// startSnapshot turns to sending the latest snapshot because the log no longer reaches back far enough.
func (r *core) startSnapshot(id Identity, p *progress) {
	p.state = restoring
	p.meta = r.log.snapshot
	p.offset, p.wanted = 0, 0
	p.sent = nil
	r.sendChunk(id, p)
}

// sendChunk asks for a chunk to be read from the disk and sent.
func (r *core) sendChunk(id Identity, p *progress) {
	if p.meta.Index < r.log.snapshot.Index {
		// The older snapshot is no longer on disk.
		p.meta = r.log.snapshot
		p.offset, p.wanted = 0, 0
	}
	meta := p.meta
	r.sendEarly(Message{Kind: MessageSnapshot, To: id, Snapshot: &meta, Offset: p.offset})
}

// stepSnapshotResponse goes on with the chunk that the member wants.
//
// An answer that wants an earlier chunk may be old, or come from a member that
// restarted and took a late copy of the first ones. Going back at once would
// send everything several times; never going back would leave that member
// without the snapshot. It is noted, and counts when nothing else moves.
func (r *core) stepSnapshotResponse(m Message, p *progress) {
	if p.state != restoring || m.Index != p.meta.Index || m.Offset >= p.meta.Size {
		return
	}
	p.wanted = m.Offset
	if m.Offset <= p.offset && m.Offset != 0 {
		return
	}
	p.moved = true
	p.offset = m.Offset
	r.sendChunk(m.From, p)
}
