package rpc

import (
	"slices"
	"time"

	"hornbeamwood/internal/node/keys"
)

// Method names a call with its request type Q and its answer type R, known to both sides.
type Method[Q, R any] struct {
	// Name is the kebab-case name on the wire.
	Name string
	// Roles are those who may call.
	Roles []keys.Role
	// Idle is how long nothing of the answer may come until the call counts as lost; zero leaves that to the call's context.
	//
	// A bound on the whole answer must be short for a silent peer to be left soon, and
	// an answer that grows with the state is then given up while it is still coming.
	Idle time.Duration
}

// Notice names a message without an answer.
type Notice[Q any] struct {
	// Name is the kebab-case name on the wire.
	Name string
	// Roles are those who may send it.
	Roles []keys.Role
}

func allowed(roles []keys.Role, r keys.Role) bool {
	return slices.Contains(roles, r)
}
