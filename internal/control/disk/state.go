package disk

import "hornbeamwood/internal/control/raft"

// State is what a data folder held when it was opened.
type State struct {
	// HardState is the latest one.
	HardState raft.HardState
	// Snapshot is the latest one's place in the log.
	Snapshot raft.SnapshotMeta
	// Entries follow Snapshot without a gap.
	Entries []raft.Entry
	// Torn is the number of bytes of an unfinished, never acknowledged write that were cut off.
	Torn int64
}
