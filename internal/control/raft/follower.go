package raft

// stepAppend handles an append from the leader.
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

// contiguous reports whether the entries follow m.Index without a gap.
func contiguous(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			return false
		}
	}
	return true
}

// hint returns the last index at which the logs may match; an entry of a later term than the leader's entry can't match.
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
	// The leader limits Commit to the entries that it knows to match.
	r.log.commit = max(r.log.commit, min(m.Commit, r.log.last()))
	r.reply(m, Message{Kind: MessageHeartbeatResponse, Round: m.Round})
}

// incoming is a partially received snapshot.
type incoming struct {
	meta SnapshotMeta
	from Identity
	data []byte
}

// stepSnapshot appends a chunk to the incoming snapshot and installs it after the last chunk.
func (r *core) stepSnapshot(m Message) {
	if m.Snapshot == nil {
		return
	}
	meta := *m.Snapshot
	if r.log.matches(meta.Index, meta.Term) {
		// Entries after the snapshot may already be acknowledged. Installing it
		// would drop them, and with them a committed edit.
		r.log.commit = max(r.log.commit, meta.Index)
	}
	if meta.Index <= r.log.commit {
		r.incomingSnapshot = incoming{}
		r.reply(m, Message{Kind: MessageAppendResponse, Index: r.log.commit})
		return
	}
	in := &r.incomingSnapshot
	if in.from != m.From || !in.meta.Same(meta) {
		*in = incoming{meta: meta, from: m.From}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
		if uint64(len(in.data)) >= meta.Size {
			r.installSnapshot(m)
			return
		}
	}
	r.reply(m, Message{Kind: MessageSnapshotResponse, Index: meta.Index, Offset: uint64(len(in.data))})
}

func (r *core) installSnapshot(m Message) {
	in := r.incomingSnapshot
	r.incomingSnapshot = incoming{}
	if !in.meta.Verify(in.data) {
		// An incomplete snapshot, or one mixed from chunks of two, would be a
		// state that no replica ever had. The leader restarts from the first chunk.
		r.reply(m, Message{Kind: MessageSnapshotResponse, Index: in.meta.Index})
		return
	}
	r.install = &Snapshot{Meta: in.meta, Data: in.data}
	r.log.restore(in.meta)
	r.persistingIndex = in.meta.Index
	r.reply(m, Message{Kind: MessageAppendResponse, Index: in.meta.Index})
}
