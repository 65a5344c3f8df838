package protocol

import (
	"time"

	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

// Reading is a request for a linearizable read: all queries are answered from a state no older than the call.
type Reading struct {
	// Queries are answered in this order.
	Queries []state.Query `cbor:"queries"`
	// Report is set by an entry that renews its settings lease.
	Report *Report `cbor:"report"`
}

// Answers are the answers to a Reading.
type Answers struct {
	// Index is the log index that a quorum confirmed after the call began; all answers reflect it.
	Index uint64 `cbor:"index"`
	// Bodies are the answers in the order of the queries.
	Bodies [][]byte `cbor:"bodies"`
}

// ReadIdle is the idle timeout of a Read: it bounds how long a suspended replica delays its caller.
const ReadIdle = 700 * time.Millisecond

// Read answers queries through any replica.
var Read = rpc.Method[Reading, Answers]{
	Name:  "control-read",
	Roles: []keys.Role{keys.Entry, keys.Control},
	Idle:  ReadIdle,
}

// Confirmation requests a log index confirmed by a quorum from the leader.
type Confirmation struct {
	// Report is forwarded from a Reading.
	Report *Report `cbor:"report"`
}

// Confirmed is the answer to a Confirmation.
type Confirmed struct {
	// Index is the confirmed log index.
	Index uint64 `cbor:"index"`
}

// Confirm returns a confirmed log index; other replicas call it at the leader.
var Confirm = rpc.Method[Confirmation, Confirmed]{
	Name:  "control-confirm",
	Roles: []keys.Role{keys.Control},
}
