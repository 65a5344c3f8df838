package protocol

import (
	"hornbeamwood/internal/control/raft"
	"hornbeamwood/internal/control/replica"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

// Empty is a request or answer that says nothing.
type Empty struct{}

// Message carries one message from replica to replica.
var Message = rpc.Notice[raft.Message]{
	Name:  "control-message",
	Roles: []keys.Role{keys.Control},
}

// Probe asks a replica what it is.
var Probe = rpc.Method[Empty, replica.Formation]{
	Name:  "control-probe",
	Roles: []keys.Role{keys.Control},
}

// Status asks a replica where it stands.
var Status = rpc.Method[Empty, replica.Status]{
	Name:  "control-status",
	Roles: []keys.Role{keys.Entry, keys.Control, keys.Operator},
}

// ChangeKind says how a Change alters the members of the control log.
type ChangeKind string

const (
	// AddLearner admits a replica without a vote.
	AddLearner ChangeKind = "add-learner"
	// Promote gives a vote to a learner that has caught up.
	Promote ChangeKind = "promote"
	// Remove drops a member.
	Remove ChangeKind = "remove"
)

// Change asks for one change of the members; only the leader takes it.
type Change struct {
	// Kind says what changes.
	Kind ChangeKind `cbor:"kind"`
	// Member is the replica; Promote and Remove read its identity only.
	Member raft.Member `cbor:"member"`
}

// ChangeMember changes the members of the control log.
var ChangeMember = rpc.Method[Change, Empty]{
	Name:  "control-change-member",
	Roles: []keys.Role{keys.Entry, keys.Control, keys.Operator},
}
