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

// answer is what a replica knows of a stream; Found is nil if it knows nothing.
type answer struct {
	Found *Found `cbor:"found,omitempty"`
}

var findMethod = rpc.Method[Key, answer]{
	Name:  "stream-origin",
	Roles: []keys.Role{keys.Entry},
}

// Serve registers the calls of entries at a control replica; call it before the node serves.
func Serve(n rpc.Node, s Store) {
	rpc.Handle(n, recordMethod, func(_ context.Context, _ rpc.Peer, b began) (recorded, error) {
		s.Put(b.Key, b.Origin, b.Lifetime, time.Now())
		return recorded{}, nil
	})
	rpc.Handle(n, findMethod, func(_ context.Context, _ rpc.Peer, k Key) (answer, error) {
		if f, ok := s.Get(k, time.Now()); ok {
			return answer{&f}, nil
		}
		return answer{}, nil
	})
}
