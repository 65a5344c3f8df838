package ledger

import "time"

// Command is the body of one log command; exactly one field is set.
type Command struct {
	Claim       *Claim       `cbor:"claim,omitempty"`
	Outcome     *Outcome     `cbor:"outcome,omitempty"`
	Release     *Release     `cbor:"release,omitempty"`
	MarkUnknown *MarkUnknown `cbor:"mark-unknown,omitempty"`
	Abandon     *Abandon     `cbor:"abandon,omitempty"`
	Resolve     *Resolve     `cbor:"resolve,omitempty"`
}

// Claim asks for the right to dispatch one call.
type Claim struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope"`
	// Digest is that of the request.
	Digest Digest `cbor:"digest"`
	// Entry is the identity of the entry that will dispatch.
	Entry string `cbor:"entry"`
	// Incarnation is that of the entry's process.
	Incarnation uint64 `cbor:"incarnation"`
	// Attempt is unique for ever.
	Attempt string `cbor:"attempt"`
	// Keep is how long the record is kept after its last change.
	Keep time.Duration `cbor:"keep"`
}

// Release takes back a claim; only an entry that can prove that no byte of the call left may send it.
type Release struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope"`
	// Attempt is the claim's attempt.
	Attempt string `cbor:"attempt"`
}

// MarkUnknown says that the connection broke after the call was dispatched, so that nobody can know its outcome.
type MarkUnknown struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope"`
	// Attempt is the claim's attempt.
	Attempt string `cbor:"attempt"`
}

// Abandon makes the claims of a dead entry unknown and refuses its later claims.
type Abandon struct {
	// Entry is the dead entry's identity.
	Entry string `cbor:"entry"`
	// Incarnation is the highest one that is dead.
	Incarnation uint64 `cbor:"incarnation"`
}

// Resolve is an operator's statement about an unknown call.
type Resolve struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope"`
	// Ran is true when the operator found that the call ran.
	Ran bool `cbor:"ran"`
	// Operator is who says so.
	Operator string `cbor:"operator"`
}
