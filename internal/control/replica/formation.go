package replica

import (
	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/raft"
)

// Formation is a replica's answer to a probe: its identity and its group.
type Formation struct {
	// Group is the log's number.
	Group uint32 `cbor:"group"`
	// Name is the replica's name.
	Name string `cbor:"name"`
	// Identity identifies the replica together with its disk.
	Identity raft.Identity `cbor:"identity"`
	// Address is the replica's address.
	Address string `cbor:"address"`
	// Formed is set when the replica belongs to a group; the fields below are empty otherwise.
	Formed bool `cbor:"formed"`
	// Founding is the group's founding, with its initial configuration.
	Founding disk.Founding `cbor:"founding"`
	// Configuration is the latest committed configuration that the replica knows.
	Configuration raft.Configuration `cbor:"configuration"`
}

// hasMember reports whether id is an initial or current member of the group.
func (f Formation) hasMember(id raft.Identity) bool {
	if !f.Formed {
		return false
	}
	if _, ok := f.Configuration.Member(id); ok {
		return true
	}
	_, ok := f.Founding.Configuration.Member(id)
	return ok
}
