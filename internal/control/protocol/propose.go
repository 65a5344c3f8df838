package protocol

import (
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

// Proposal is a request to commit and apply a section's command.
type Proposal struct {
	// Section names the section of the replicated state.
	Section string `cbor:"section"`
	// Body is the section's command.
	Body []byte `cbor:"body"`
	// Forwarded is set by a replica that forwards the proposal to its leader; a proposal is forwarded only once.
	Forwarded bool `cbor:"forwarded"`
}

// Applied is the result of a committed command.
type Applied struct {
	// Index is the command's log index.
	Index uint64 `cbor:"index"`
	// Result is the section's result.
	Result []byte `cbor:"result"`
}

// Propose commits a command through any replica.
var Propose = rpc.Method[Proposal, Applied]{
	Name:  "control-propose",
	Roles: []keys.Role{keys.Entry, keys.Control},
}
