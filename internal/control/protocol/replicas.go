package protocol

import (
	"hornbeamwood/internal/control/raft"
	"hornbeamwood/internal/control/replica"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

// Empty is an empty request or response.
type Empty struct{}

// Message carries a Raft message from one replica to another.
var Message = rpc.Notice[raft.Message]{
	Name:  "control-message",
	Roles: []keys.Role{keys.Control},
}

// Probe returns a replica's formation.
var Probe = rpc.Method[Empty, replica.Formation]{
	Name:  "control-probe",
	Roles: []keys.Role{keys.Control},
}

// Status returns a replica's current state.
var Status = rpc.Method[Empty, replica.Status]{
	Name:  "control-status",
	Roles: []keys.Role{keys.Entry, keys.Control, keys.Operator},
}

// ChangeKind is the kind of a Change.
type ChangeKind string

const (
	// AddLearner adds a replica as a learner.
	AddLearner ChangeKind = "add-learner"
	// Promote makes a learner that has caught up a voter.
	Promote ChangeKind = "promote"
	// Remove removes a member.
	Remove ChangeKind = "remove"
)

// Change is a request for a single membership change; only the leader accepts it.
type Change struct {
	// Kind is the kind of the change.
	Kind ChangeKind `cbor:"kind"`
	// Member is the replica; Promote and Remove use only its identity.
	Member raft.Member `cbor:"member"`
}

// ChangeMember changes the members of the control log.
var ChangeMember = rpc.Method[Change, Empty]{
	Name:  "control-change-member",
	Roles: []keys.Role{keys.Entry, keys.Control, keys.Operator},
}
