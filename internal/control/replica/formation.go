package replica

import (
	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/raft"
)

// Formation is what a replica answers to a probe: who it is and which group it belongs to.
type Formation struct {
	// Group is the log's number.
	Group uint32 `cbor:"group"`
	// Name is the replica's name.
	Name string `cbor:"name"`
	// Identity names the replica with its disk.
	Identity raft.Identity `cbor:"identity"`
	// Address is where the replica is reached.
	Address string `cbor:"address"`
	// Formed says that the replica belongs to a group; the fields below are empty otherwise.
	Formed bool `cbor:"formed"`
	// Founding is the group's first configuration.
	Founding disk.Founding `cbor:"founding"`
	// Configuration is the latest committed one that the replica knows.
	Configuration raft.Configuration `cbor:"configuration"`
}

// admits returns whether the group of f has id as a founding or present member.
func (f Formation) admits(id raft.Identity) bool {
	if !f.Formed {
		return false
	}
	if _, ok := f.Configuration.Member(id); ok {
		return true
	}
	_, ok := f.Founding.Configuration.Member(id)
	return ok
}
