package rpc

import (
	"slices"

	"hornbeamwood/internal/node/keys"
)

// Method names a call with its request type Q and its answer type R, known to both sides.
type Method[Q, R any] struct {
	// Name is the kebab-case name on the wire.
	Name string
	// Roles are those who may call.
	Roles []keys.Role
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
