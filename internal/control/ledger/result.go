package ledger

import "time"

// Kind says what became of a command or what a lookup found.
type Kind string

const (
	// Granted means that the attempt holds the claim and may dispatch once.
	Granted Kind = "granted"
	// Found means that the outcome is known and is repeated whole.
	Found Kind = "outcome"
	// Busy means that another attempt holds a live claim.
	Busy Kind = "busy"
	// Unknown means that the call may have run and nobody knows; it is never dispatched again.
	Unknown Kind = "unknown"
	// Mismatch means that the key was used with another request.
	Mismatch Kind = "mismatch"
	// Absent means that there is no record.
	Absent Kind = "absent"
	// Done means that the command took effect, or had done so before.
	Done Kind = "done"
	// Stale means that the attempt no longer holds the record, or that the entry was abandoned.
	Stale Kind = "stale"
	// Invalid means that the command is malformed or beyond a bound.
	Invalid Kind = "invalid"
)

// Result answers a command or a lookup.
type Result struct {
	// Kind says which of the other fields are set.
	Kind Kind `cbor:"kind"`
	// Attempt holds the record, when there is one.
	Attempt string `cbor:"attempt,omitempty"`
	// Entry dispatched the attempt, when there is one.
	Entry string `cbor:"entry,omitempty"`
	// Answer is set for Found.
	Answer *Answer `cbor:"answer,omitempty"`
	// RetryAfter is set for Busy.
	RetryAfter time.Duration `cbor:"retry-after,omitempty"`
	// Count is the number of claims that an abandon made unknown.
	Count int `cbor:"count,omitempty"`
}
