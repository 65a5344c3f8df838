package raft

// ReadState is a confirmed read: Index is a commit index that covers everything committed before the read began.
type ReadState struct {
	// ID is the ID that was passed to Core.Read.
	ID uint64
	// Index must be applied before the read is answered.
	Index uint64
}

// Effects is the I/O that a Core requests; it must be carried out in the order of the fields.
type Effects struct {
	// Early are messages that may be sent before anything is persisted.
	Early []Message
	// HardState, when not nil, must be persisted.
	HardState *HardState
	// Install, when not nil, replaces the snapshot, the log and the state machine's state.
	Install *Snapshot
	// Entries must be persisted; they replace the entries on disk from the first one's index on.
	Entries []Entry
	// Messages may be sent only after all of the above is persisted and synced.
	Messages []Message
	// Committed are the entries to apply in order.
	Committed []Entry
	// Reads are the confirmed reads.
	Reads []ReadState
}

// Empty reports whether there is nothing to do.
func (e Effects) Empty() bool {
	return len(e.Early) == 0 && !e.MustPersist() && len(e.Messages) == 0 && len(e.Committed) == 0 && len(e.Reads) == 0
}

// MustPersist reports whether something must be persisted.
func (e Effects) MustPersist() bool {
	return e.HardState != nil || e.Install != nil || len(e.Entries) > 0
}
