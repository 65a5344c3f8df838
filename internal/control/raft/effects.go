package raft

// ReadState says that everything up to Index was committed before the read with the given id was confirmed.
type ReadState struct {
	// ID is the number given to Core.Read.
	ID uint64
	// Index must be applied before the read is answered.
	Index uint64
}

// Effects is what a Core wants done, in the order of the fields.
type Effects struct {
	// Early may be sent before anything is persisted.
	Early []Message
	// HardState, when not nil, must be persisted.
	HardState *HardState
	// Install, when not nil, replaces the snapshot, the log and the state machine's state.
	Install *Snapshot
	// Entries must be persisted; they replace what the disk has from the first one's index on.
	Entries []Entry
	// Messages may be sent only after all of the above is persisted and synced.
	Messages []Message
	// Committed are to be applied in order.
	Committed []Entry
	// Reads are confirmed.
	Reads []ReadState
}

// Empty returns whether there is nothing to do.
func (e Effects) Empty() bool {
	return len(e.Early) == 0 && !e.Durable() && len(e.Messages) == 0 && len(e.Committed) == 0 && len(e.Reads) == 0
}

// Durable returns whether something must be persisted.
func (e Effects) Durable() bool {
	return e.HardState != nil || e.Install != nil || len(e.Entries) > 0
}
