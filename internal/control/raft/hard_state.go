package raft

// HardState is what a replica must have on disk before it answers in a term.
type HardState struct {
	// Term is the latest term that the replica has seen.
	Term uint64 `cbor:"term"`
	// Vote is the candidate that got the replica's vote in Term, None when nobody did.
	Vote Identity `cbor:"vote"`
}
