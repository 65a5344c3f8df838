package protocol

import (
	"time"

	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

// ReadRequest is a request for a linearizable read: all queries are answered from a state no older than the call.
type ReadRequest struct {
	// Queries are answered in this order.
	Queries []state.Query `cbor:"queries"`
	// Report is set by an entry that renews its settings lease.
	Report *Report `cbor:"report"`
}

// ReadResponse are the answers to a ReadRequest.
type ReadResponse struct {
	// Index is the log index that a quorum confirmed after the call began; all answers reflect it.
	Index uint64 `cbor:"index"`
	// Bodies are the answers in the order of the queries.
	Bodies [][]byte `cbor:"bodies"`
}

// ReadIdleTimeout is the idle timeout of a Read: it bounds how long a suspended replica delays its caller.
const ReadIdleTimeout = 700 * time.Millisecond

// Read answers queries through any replica.
var Read = rpc.Method[ReadRequest, ReadResponse]{
	Name:  "control-read",
	Roles: []keys.Role{keys.Entry, keys.Control},
	Idle:  ReadIdleTimeout,
}

// ConfirmRequest requests a log index confirmed by a quorum from the leader.
type ConfirmRequest struct {
	// Report is forwarded from a ReadRequest.
	Report *Report `cbor:"report"`
}

// ConfirmResponse is the answer to a ConfirmRequest.
type ConfirmResponse struct {
	// Index is the confirmed log index.
	Index uint64 `cbor:"index"`
}

// Confirm returns a confirmed log index; other replicas call it at the leader.
var Confirm = rpc.Method[ConfirmRequest, ConfirmResponse]{
	Name:  "control-confirm",
	Roles: []keys.Role{keys.Control},
}
