package disk

import "hornbeamwood/internal/control/raft"

// State is the content of a data folder when it was opened.
type State struct {
	// HardState is the latest hard state.
	HardState raft.HardState
	// Snapshot is the metadata of the latest snapshot.
	Snapshot raft.SnapshotMeta
	// Entries are the entries after Snapshot, without a gap.
	Entries []raft.Entry
	// TornBytes is the number of bytes of an incomplete, never acknowledged write that were truncated.
	TornBytes int64
	// RewrittenBytes is the number of bytes that were written again because they may not have been synced.
	RewrittenBytes int64
	// SetAside is true if the folder holds the files of a damaged one that was set aside.
	SetAside bool
}
