package raft

// HardState is the state that a replica must persist before it responds in a term.
type HardState struct {
	// Term is the latest term that the replica has seen.
	Term uint64 `cbor:"term"`
	// Vote is the candidate that received the replica's vote in Term, or None.
	Vote Identity `cbor:"vote"`
}
