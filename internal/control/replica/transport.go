package replica

import (
	"context"

	"hornbeamwood/internal/control/raft"
)

// Transport sends messages to other replicas.
type Transport interface {
	// Send sends m to address; it never blocks and may drop the message.
	Send(address string, m raft.Message)
	// Probe returns the formation of the replica at address.
	Probe(ctx context.Context, address string) (Formation, error)
}
