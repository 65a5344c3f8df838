package rpc

import (
	"slices"
	"time"

	"hornbeamwood/internal/node/keys"
)

// Method describes a call with request type Q and result type R, as both sides know it.
type Method[Q, R any] struct {
	// Name is the kebab-case name on the wire.
	Name string
	// Roles are the roles that may call the method.
	Roles []keys.Role
	// Idle is how long the caller waits for further bytes of the answer before the call counts as lost; zero means that only the call's context limits it.
	//
	// A limit on the complete answer would have to be short to detect an unresponsive
	// peer quickly. It would then abort a large answer while it is still arriving.
	Idle time.Duration
}

// Notice describes a message without a reply.
type Notice[Q any] struct {
	// Name is the kebab-case name on the wire.
	Name string
	// Roles are the roles that may send the notice.
	Roles []keys.Role
}

func allowed(roles []keys.Role, r keys.Role) bool {
	return slices.Contains(roles, r)
}
