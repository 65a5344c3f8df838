package ledger

import "time"

// Query is the body of one query; exactly one field is set.
type Query struct {
	Lookup  *Lookup        `cbor:"lookup,omitempty"`
	Counts  *CountsQuery   `cbor:"counts,omitempty"`
	Unknown *UnknownsQuery `cbor:"unknown,omitempty"`
	Owners  *OwnersQuery   `cbor:"owners,omitempty"`
}

// Lookup asks for one record and is answered by a Result.
type Lookup struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope"`
	// Digest is that of the request; a zero one skips the comparison.
	Digest Digest `cbor:"digest"`
	// Attempt is the asking attempt; a live claim of it is Granted.
	Attempt string `cbor:"attempt"`
}

// CountsQuery asks for the records per state of a workspace, or of all when it is empty.
type CountsQuery struct {
	// Workspace is the workspace's name or empty.
	Workspace string `cbor:"workspace"`
}

// Counts is the number of records per state.
type Counts struct {
	// Live claims may still run.
	Live int `cbor:"live" json:"live"`
	// Outcomes are recorded answers.
	Outcomes int `cbor:"outcomes" json:"outcomes"`
	// Unknown calls may have run.
	Unknown int `cbor:"unknown" json:"unknown"`
	// Released claims were taken back and are kept for a few minutes.
	Released int `cbor:"released" json:"released"`
}

// UnknownsQuery asks for the unknown calls of a workspace, or of all when it is empty.
type UnknownsQuery struct {
	// Workspace is the workspace's name or empty.
	Workspace string `cbor:"workspace"`
	// Limit is the largest number of calls to list; zero means a thousand.
	Limit int `cbor:"limit"`
}

// UnknownCall is one call of which nobody knows whether it ran.
type UnknownCall struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope" json:"scope"`
	// Attempt is the one that may have run.
	Attempt string `cbor:"attempt" json:"attempt"`
	// Entry held the claim.
	Entry string `cbor:"entry" json:"entry"`
	// Incarnation is that of the entry's process.
	Incarnation uint64 `cbor:"incarnation" json:"incarnation"`
	// Since is the state time of the claim.
	Since time.Time `cbor:"since" json:"since"`
}

// Unknowns is the list of unknown calls, ordered by scope.
type Unknowns struct {
	// Calls are the unknown calls.
	Calls []UnknownCall `cbor:"calls" json:"calls"`
}
