package disk

import "hornbeamwood/internal/control/raft"

// Founding is the first configuration of a log, the same on each replica for ever.
type Founding struct {
	// ID is random and names this log; replicas of another one are not answered.
	ID string `cbor:"id"`
	// Configuration holds the founding members.
	Configuration raft.Configuration `cbor:"configuration"`
}
