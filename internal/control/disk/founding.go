package disk

import "hornbeamwood/internal/control/raft"

// Founding is the first configuration of a log. It is the same on each replica and never changes.
type Founding struct {
	// ID is the random ID of this log; requests from replicas of another log are not answered.
	ID string `cbor:"id"`
	// Configuration contains the founding members.
	Configuration raft.Configuration `cbor:"configuration"`
}
