package replica

import (
	"context"

	"hornbeamwood/internal/control/raft"
)

// Transport carries messages to other replicas.
type Transport interface {
	// Send sends m to address; it never blocks and may drop.
	Send(address string, m raft.Message)
	// Probe asks the replica at address what it is.
	Probe(ctx context.Context, address string) (Formation, error)
}
