package quic

import (
	"context"
	"sync"
	"time"

	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

// reportTimeout limits how long Report waits for an entry that does not answer.
const reportTimeout = 300 * time.Millisecond

// suspectReport is the message with which an entry reports that a server was lost while it ran a request.
type suspectReport struct {
	// Fingerprint identifies the request.
	Fingerprint [32]byte `cbor:"fingerprint"`
}

type empty struct{}

var suspect = rpc.Method[suspectReport, empty]{
	Name:  "fleet-suspect",
	Roles: []keys.Role{keys.Entry},
}

// SuspectsConfig holds the dependencies of Suspects.
type SuspectsConfig struct {
	// Node sends and receives the messages.
	Node rpc.Node
	// Addresses maps the names of the other entries to their addresses.
	Addresses map[string]string
	// OnReport is called with the fingerprint of each request that another entry reports as suspect.
	OnReport func(fingerprint [32]byte)
}

// Suspects reports a request to the other entries as soon as a server was lost while running it.
type Suspects interface {
	// Report returns when every other entry has answered or timed out.
	Report(ctx context.Context, fingerprint [32]byte)
}

type suspects struct {
	SuspectsConfig
}

// NewSuspects registers the receiver; it is called before the node serves.
func NewSuspects(c SuspectsConfig) Suspects {
	rpc.Handle(c.Node, suspect, func(_ context.Context, _ rpc.Peer, s suspectReport) (empty, error) {
		c.OnReport(s.Fingerprint)
		return empty{}, nil
	})
	return &suspects{SuspectsConfig: c}
}

// Report implements Suspects.
func (s *suspects) Report(ctx context.Context, fingerprint [32]byte) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, a := range s.Addresses {
		calls.Go(func() {
			// An entry that can't be reached reads the suspicion from the control log within a second.
			_, _ = rpc.Call(ctx, s.Node, a, suspect, suspectReport{Fingerprint: fingerprint})
		})
	}
	calls.Wait()
}
