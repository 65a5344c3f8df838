package disk

import "hornbeamwood/internal/control/raft"

// owner identifies the replica to which a data folder belongs.
type owner struct {
	Name     string        `cbor:"name"`
	Identity raft.Identity `cbor:"identity"`
	Group    uint32        `cbor:"group"`
}
