package disk

import "hornbeamwood/internal/control/raft"

// owner says which replica a data folder belongs to.
type owner struct {
	Name     string        `cbor:"name"`
	Identity raft.Identity `cbor:"identity"`
	Group    uint32        `cbor:"group"`
}
