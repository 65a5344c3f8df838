package ledger

import "time"

// Query is the body of one query; exactly one field is set.
type Query struct {
	Lookup  *Lookup        `cbor:"lookup,omitempty"`
	Counts  *CountsQuery   `cbor:"counts,omitempty"`
	Unknown *UnknownsQuery `cbor:"unknown,omitempty"`
	Owners  *OwnersQuery   `cbor:"owners,omitempty"`
}

// Lookup asks for one record. Its result is a Result.
type Lookup struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope"`
	// Digest is the request's digest; a zero digest skips the comparison.
	Digest Digest `cbor:"digest"`
	// Attempt is the attempt that asks; its own live claim is Granted.
	Attempt string `cbor:"attempt"`
}

// CountsQuery asks for the number of records per state.
type CountsQuery struct {
	// Workspace is the workspace's name; empty selects all workspaces.
	Workspace string `cbor:"workspace"`
}

// Counts is the number of records per state.
type Counts struct {
	// Live is the number of claims whose calls may still run.
	Live int `cbor:"live" json:"live"`
	// Outcomes is the number of recorded answers.
	Outcomes int `cbor:"outcomes" json:"outcomes"`
	// Unknown is the number of calls that may have run.
	Unknown int `cbor:"unknown" json:"unknown"`
	// Released is the number of withdrawn claims, which are kept for a few minutes.
	Released int `cbor:"released" json:"released"`
}

// UnknownsQuery asks for the unknown calls.
type UnknownsQuery struct {
	// Workspace is the workspace's name; empty selects all workspaces.
	Workspace string `cbor:"workspace"`
	// Limit is the largest number of calls to list; zero means 1000.
	Limit int `cbor:"limit"`
}

// UnknownCall is a call that may or may not have run.
type UnknownCall struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope" json:"scope"`
	// Attempt is the attempt that may have run.
	Attempt string `cbor:"attempt" json:"attempt"`
	// Entry is the identity of the entry that held the claim.
	Entry string `cbor:"entry" json:"entry"`
	// Incarnation identifies the entry's process.
	Incarnation uint64 `cbor:"incarnation" json:"incarnation"`
	// Since is the state time at which the call was claimed.
	Since time.Time `cbor:"since" json:"since"`
}

// Unknowns is the list of unknown calls, ordered by scope.
type Unknowns struct {
	// Calls are the unknown calls.
	Calls []UnknownCall `cbor:"calls" json:"calls"`
}
