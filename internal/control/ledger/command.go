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

// Claim requests the right to dispatch one call.
type Claim struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope"`
	// Digest is the request's digest.
	Digest Digest `cbor:"digest"`
	// Entry is the identity of the entry that will dispatch the call.
	Entry string `cbor:"entry"`
	// Incarnation identifies the entry's process.
	Incarnation uint64 `cbor:"incarnation"`
	// Attempt is a globally unique ID that is never reused.
	Attempt string `cbor:"attempt"`
	// Keep is how long the record is kept after its last change.
	Keep time.Duration `cbor:"keep"`
}

// Release withdraws a claim. An entry may send it only if it can prove that no byte of the call was sent.
type Release struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope"`
	// Attempt is the claim's attempt.
	Attempt string `cbor:"attempt"`
}

// MarkUnknown reports that the connection broke after the call was dispatched, so that its outcome can't be determined.
type MarkUnknown struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope"`
	// Attempt is the claim's attempt.
	Attempt string `cbor:"attempt"`
}

// Abandon makes the claims of a dead entry's process unknown and fences off its later claims.
type Abandon struct {
	// Entry is the dead entry's identity.
	Entry string `cbor:"entry"`
	// Incarnation is the highest dead incarnation.
	Incarnation uint64 `cbor:"incarnation"`
}

// Resolve records an operator's decision about an unknown call.
type Resolve struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope"`
	// Ran is true if the operator found that the call ran.
	Ran bool `cbor:"ran"`
	// Operator is the operator who made the decision.
	Operator string `cbor:"operator"`
}
