package protocol

import (
	"time"

	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

// Reading asks sections at one moment that is no older than the call.
type Reading struct {
	// Queries are answered in their order.
	Queries []state.Query `cbor:"queries"`
	// Report is set by an entry that renews its settings lease.
	Report *Report `cbor:"report"`
}

// Answers are the answers to a Reading.
type Answers struct {
	// Index is the log index that a quorum confirmed after the call began; all answers show it.
	Index uint64 `cbor:"index"`
	// Bodies are the answers in the order of the queries.
	Bodies [][]byte `cbor:"bodies"`
}

// ReadIdle is how long nothing of an answer to Read may come; a frozen replica costs its caller no more than this.
const ReadIdle = 700 * time.Millisecond

// Read answers queries through any replica.
var Read = rpc.Method[Reading, Answers]{
	Name:  "control-read",
	Roles: []keys.Role{keys.Entry, keys.Control},
	Idle:  ReadIdle,
}

// Confirmation asks the leader for an index that a quorum confirms.
type Confirmation struct {
	// Report is passed on from a Reading.
	Report *Report `cbor:"report"`
}

// Confirmed is the answer to a Confirmation.
type Confirmed struct {
	// Index is the confirmed log index.
	Index uint64 `cbor:"index"`
}

// Confirm is how a replica that does not lead asks its leader.
var Confirm = rpc.Method[Confirmation, Confirmed]{
	Name:  "control-confirm",
	Roles: []keys.Role{keys.Control},
}
