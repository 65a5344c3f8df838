package raft

// EntryKind is the type of an Entry.
type EntryKind uint8

const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is empty; each leader appends one at the start of its term.
	EntryNoop
	// EntryConfiguration holds the Configuration in force from this entry on.
	EntryConfiguration
)

// Entry is one record of the replicated log.
type Entry struct {
	// Index is the position in the log; the first is 1.
	Index uint64 `cbor:"index"`
	// Term is the term of the leader that appended the entry.
	Term uint64 `cbor:"term"`
	// Kind is the type of Data.
	Kind EntryKind `cbor:"kind,omitempty"`
	// Data is the command or the encoded Configuration.
	Data []byte `cbor:"data,omitempty"`
}

// entryOverhead is the approximate size of an entry in a message without its data, in bytes.
const entryOverhead = 24

func (e Entry) size() int {
	return len(e.Data) + entryOverhead
}
