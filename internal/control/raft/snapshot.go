package raft

import "github.com/cespare/xxhash/v2"

// SnapshotMeta describes the state that a snapshot holds.
type SnapshotMeta struct {
	// Index is the last entry that the state includes.
	Index uint64 `cbor:"index"`
	// Term is the term of that entry.
	Term uint64 `cbor:"term"`
	// Configuration is the one in force at Index.
	Configuration Configuration `cbor:"configuration"`
	// Size is the length of the data in bytes.
	Size uint64 `cbor:"size"`
	// Checksum is that of the data.
	Checksum uint64 `cbor:"checksum"`
}

// WithData returns a copy of m with the size and checksum of data.
func (m SnapshotMeta) WithData(data []byte) SnapshotMeta {
	m.Size = uint64(len(data))
	m.Checksum = xxhash.Sum64(data)
	return m
}

// Holds returns whether data has the size and checksum of m.
func (m SnapshotMeta) Holds(data []byte) bool {
	return m.Size == uint64(len(data)) && m.Checksum == xxhash.Sum64(data)
}

// Same returns whether chunks of m and other belong together.
func (m SnapshotMeta) Same(other SnapshotMeta) bool {
	return m.Index == other.Index && m.Term == other.Term && m.Size == other.Size && m.Checksum == other.Checksum
}

// Snapshot is a state machine's state with its place in the log.
type Snapshot struct {
	// Meta is the snapshot's place in the log.
	Meta SnapshotMeta `cbor:"meta"`
	// Data is the state machine's own encoding.
	Data []byte `cbor:"data"`
}
