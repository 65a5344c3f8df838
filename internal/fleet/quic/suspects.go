package quic

import (
	"context"
	"sync"
	"time"

	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

// tellTimeout bounds how long an entry that does not answer holds up the others' knowledge.
const tellTimeout = 300 * time.Millisecond

// suspicion is what one entry tells the others when a server was lost under a request.
type suspicion struct {
	// Fingerprint names the request.
	Fingerprint [32]byte `cbor:"fingerprint"`
}

type empty struct{}

var suspect = rpc.Method[suspicion, empty]{
	Name:  "fleet-suspect",
	Roles: []keys.Role{keys.Entry},
}

// SuspectsConfig is what Suspects need.
type SuspectsConfig struct {
	// Node sends and receives.
	Node rpc.Node
	// Addresses maps the names of the other entries to their addresses.
	Addresses map[string]string
	// Take is called with the fingerprint of each request that another entry suspects.
	Take func(fingerprint [32]byte)
}

// Suspects tells the other entries at once of a request under which a server was lost.
type Suspects interface {
	// Tell returns when every other entry knows, or has not answered in time.
	Tell(ctx context.Context, fingerprint [32]byte)
}

type suspects struct {
	SuspectsConfig
}

// NewSuspects registers the receiver; it is called before the node serves.
func NewSuspects(c SuspectsConfig) Suspects {
	rpc.Handle(c.Node, suspect, func(_ context.Context, _ rpc.Peer, s suspicion) (empty, error) {
		c.Take(s.Fingerprint)
		return empty{}, nil
	})
	return &suspects{SuspectsConfig: c}
}

// Tell implements Suspects.
func (s *suspects) Tell(ctx context.Context, fingerprint [32]byte) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var told sync.WaitGroup
	for _, a := range s.Addresses {
		told.Go(func() {
			// An entry that can't be told finds the suspicion in the control log within a second.
			_, _ = rpc.Call(ctx, s.Node, a, suspect, suspicion{Fingerprint: fingerprint})
		})
	}
	told.Wait()
}
