package ledger

import "time"

// Kind is the kind of a Result.
type Kind string

const (
	// Granted means that the attempt holds the claim and may dispatch once.
	Granted Kind = "granted"
	// Found means that the outcome is recorded; the result contains it.
	Found Kind = "outcome"
	// Busy means that another attempt holds a live claim.
	Busy Kind = "busy"
	// Unknown means that the call may have run and its outcome is lost; it is never dispatched again.
	Unknown Kind = "unknown"
	// Mismatch means that the key was used with a different request.
	Mismatch Kind = "mismatch"
	// Absent means that there is no record.
	Absent Kind = "absent"
	// Done means that the command took effect, now or earlier.
	Done Kind = "done"
	// Stale means that the attempt no longer holds the record, or that the entry was abandoned.
	Stale Kind = "stale"
	// Invalid means that the command is malformed or exceeds a limit.
	Invalid Kind = "invalid"
)

// Result is the result of a command or a lookup.
type Result struct {
	// Kind determines which other fields are set.
	Kind Kind `cbor:"kind"`
	// Attempt is the attempt that holds the record, if there is one.
	Attempt string `cbor:"attempt,omitempty"`
	// Entry is the identity of the entry that dispatched the attempt, if there is one.
	Entry string `cbor:"entry,omitempty"`
	// Answer is set for Found.
	Answer *Answer `cbor:"answer,omitempty"`
	// RetryAfter is set for Busy.
	RetryAfter time.Duration `cbor:"retry-after,omitempty"`
	// Count is the number of claims that an Abandon made unknown.
	Count int `cbor:"count,omitempty"`
}
