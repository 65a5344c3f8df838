package raft

import "github.com/cespare/xxhash/v2"

// SnapshotMeta describes a snapshot.
type SnapshotMeta struct {
	// Index is the last entry that the snapshot includes.
	Index uint64 `cbor:"index"`
	// Term is the term of that entry.
	Term uint64 `cbor:"term"`
	// Configuration is the configuration in force at Index.
	Configuration Configuration `cbor:"configuration"`
	// Size is the length of the data in bytes.
	Size uint64 `cbor:"size"`
	// Checksum is the xxHash64 checksum of the data.
	Checksum uint64 `cbor:"checksum"`
}

// WithData returns a copy of m with the size and checksum of data.
func (m SnapshotMeta) WithData(data []byte) SnapshotMeta {
	m.Size = uint64(len(data))
	m.Checksum = xxhash.Sum64(data)
	return m
}

// Verify reports whether data has the size and checksum of m.
func (m SnapshotMeta) Verify(data []byte) bool {
	return m.Size == uint64(len(data)) && m.Checksum == xxhash.Sum64(data)
}

// Same reports whether m and other describe the same snapshot data, so that their chunks can be combined.
func (m SnapshotMeta) Same(other SnapshotMeta) bool {
	return m.Index == other.Index && m.Term == other.Term && m.Size == other.Size && m.Checksum == other.Checksum
}

// Snapshot is a state machine's state at an index of the log.
type Snapshot struct {
	// Meta describes the snapshot.
	Meta SnapshotMeta `cbor:"meta"`
	// Data is the state as encoded by the state machine.
	Data []byte `cbor:"data"`
}
