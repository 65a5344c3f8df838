package raft

// stepAppend takes a leader's entries.
func (r *core) stepAppend(m Message) {
	if m.Index < r.log.commit {
		r.reply(m, Message{Kind: MessageAppendResponse, Index: r.log.commit, Round: m.Round})
		return
	}
	if !contiguous(m) {
		return
	}
	if !r.log.matches(m.Index, m.LogTerm) {
		r.reply(m, Message{Kind: MessageAppendResponse, Reject: true, Index: m.Index, Hint: r.hint(m), Round: m.Round})
		return
	}
	last := r.log.merge(m.Index, m.Entries)
	r.log.commit = max(r.log.commit, min(m.Commit, last))
	r.reply(m, Message{Kind: MessageAppendResponse, Index: last, Round: m.Round})
}

// contiguous returns whether the entries follow m.Index without a gap.
func contiguous(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			return false
		}
	}
	return true
}

// hint returns the last index at which the logs may match: entries of a later term than the leader's can't.
func (r *core) hint(m Message) uint64 {
	index := min(m.Index, r.log.last())
	for index > r.log.commit {
		if t, ok := r.log.term(index); !ok || t <= m.LogTerm {
			break
		}
		index--
	}
	return index
}

func (r *core) stepHeartbeat(m Message) {
	// The leader sends no higher commit than what it knows to match here.
	r.log.commit = max(r.log.commit, min(m.Commit, r.log.last()))
	r.reply(m, Message{Kind: MessageHeartbeatResponse, Round: m.Round})
}

// incoming is a snapshot of which some chunks have arrived.
type incoming struct {
	meta SnapshotMeta
	from Identity
	data []byte
}

// stepSnapshot collects a chunk and installs the snapshot after the last one.
func (r *core) stepSnapshot(m Message) {
	if m.Snapshot == nil {
		return
	}
	meta := *m.Snapshot
	if r.log.matches(meta.Index, meta.Term) {
		// Entries behind the snapshot may be acknowledged already; installing it
		// would drop them, and an accepted edit with them.
		r.log.commit = max(r.log.commit, meta.Index)
	}
	if meta.Index <= r.log.commit {
		r.incoming = incoming{}
		r.reply(m, Message{Kind: MessageAppendResponse, Index: r.log.commit})
		return
	}
	in := &r.incoming
	if in.from != m.From || !in.meta.Same(meta) {
		*in = incoming{meta: meta, from: m.From}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
		if uint64(len(in.data)) >= meta.Size {
			r.installIncoming(m)
			return
		}
	}
	r.reply(m, Message{Kind: MessageSnapshotResponse, Index: meta.Index, Offset: uint64(len(in.data))})
}

func (r *core) installIncoming(m Message) {
	in := r.incoming
	r.incoming = incoming{}
	if !in.meta.Holds(in.data) {
		// Half a snapshot, or chunks of two, would be a state that no replica
		// ever had; the leader starts again from the first chunk.
		r.reply(m, Message{Kind: MessageSnapshotResponse, Index: in.meta.Index})
		return
	}
	r.install = &Snapshot{Meta: in.meta, Data: in.data}
	r.log.restore(in.meta)
	r.taken = in.meta.Index
	r.reply(m, Message{Kind: MessageAppendResponse, Index: in.meta.Index})
}
