package protocol

import (
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

// Proposal asks for a section's command to be committed and applied.
type Proposal struct {
	// Section names the section of the replicated state.
	Section string `cbor:"section"`
	// Body is the section's command.
	Body []byte `cbor:"body"`
	// Forwarded is set by a replica that passes the proposal on to its leader; it is passed on once.
	Forwarded bool `cbor:"forwarded"`
}

// Applied is what a committed command returned.
type Applied struct {
	// Index is the command's place in the log.
	Index uint64 `cbor:"index"`
	// Result is the section's result.
	Result []byte `cbor:"result"`
}

// Propose commits a command through any replica.
var Propose = rpc.Method[Proposal, Applied]{
	Name:  "control-propose",
	Roles: []keys.Role{keys.Entry, keys.Control},
}
