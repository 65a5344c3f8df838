package origin

import (
	"context"
	"time"

	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

// began reports how a stream began.
type began struct {
	Key      Key           `cbor:"key"`
	Origin   Origin        `cbor:"origin"`
	Lifetime time.Duration `cbor:"lifetime"`
}

// recorded acknowledges began.
type recorded struct{}

var recordMethod = rpc.Method[began, recorded]{
	Name:  "stream-began",
	Roles: []keys.Role{keys.Entry},
}

// answer is what a replica knows of a stream; Found is nil if it knows nothing, or of several under the same key.
type answer struct {
	Found       *Found `cbor:"found,omitempty"`
	Conflicting bool   `cbor:"conflicting,omitempty"`
}

var findMethod = rpc.Method[Key, answer]{
	Name:  "stream-origin",
	Roles: []keys.Role{keys.Entry},
}

// SoftwareOf returns the versions of the software that the servers of a service have had lately, confirmed by a quorum.
type SoftwareOf func(ctx context.Context, service string) ([]string, error)

var softwareMethod = rpc.Method[string, []string]{
	Name:  "service-software",
	Roles: []keys.Role{keys.Entry},
}

// Serve registers the calls of entries at a control replica; call it before the node serves.
func Serve(n rpc.Node, s Store, software SoftwareOf) {
	rpc.Handle(n, softwareMethod, func(ctx context.Context, _ rpc.Peer, service string) ([]string, error) {
		return software(ctx, service)
	})
	rpc.Handle(n, recordMethod, func(_ context.Context, _ rpc.Peer, b began) (recorded, error) {
		s.Put(b.Key, b.Origin, b.Lifetime, time.Now())
		return recorded{}, nil
	})
	rpc.Handle(n, findMethod, func(_ context.Context, _ rpc.Peer, k Key) (answer, error) {
		f, outcome := s.Get(k, time.Now())
		if outcome == Known {
			return answer{Found: &f}, nil
		}
		return answer{Conflicting: outcome == Conflicting}, nil
	})
}
