package raft

// EntryKind says what an Entry holds.
type EntryKind uint8

const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop holds nothing; each leader opens its term with one.
	EntryNoop
	// EntryConfiguration holds the Configuration in force from this entry on.
	EntryConfiguration
)

// Entry is one record of the replicated log.
type Entry struct {
	// Index is the position in the log; the first is 1.
	Index uint64 `cbor:"index"`
	// Term is that of the leader that appended the entry.
	Term uint64 `cbor:"term"`
	// Kind says what Data is.
	Kind EntryKind `cbor:"kind,omitempty"`
	// Data is the command or the encoded Configuration.
	Data []byte `cbor:"data,omitempty"`
}

// entryOverhead is about what an entry takes in a message besides its data, in bytes.
const entryOverhead = 24

func (e Entry) size() int {
	return len(e.Data) + entryOverhead
}
