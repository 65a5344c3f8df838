package baseline

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamwood/internal/policy/route"
)

type prefixHash struct {
	config Config
}

// NewPrefixHash returns the strategy that sends each prefix to the server with the highest
// rendezvous hash.
func NewPrefixHash(c Config) route.Strategy {
	return &prefixHash{config: c}
}

func (s *prefixHash) Name() string { return s.config.named("prefix-hash") }

// Decide returns the server with the highest hash of the request's key and the server's identity.
func (s *prefixHash) Decide(_ time.Time, r *route.Request, c *route.Cell, _ *rand.Rand) route.Decision {
	best, highest := route.None, uint64(0)
	for _, i := range usable(c) {
		h := rendezvous(r.Key, c.Candidates[i].Identity)
		if best == route.None || h > highest {
			best, highest = i, h
		}
	}
	return outcome(r, c, best, s.config.Imports, route.PrefixHash)
}

func rendezvous(key uint64, identity string) uint64 {
	b := make([]byte, 8, 8+len(identity))
	binary.LittleEndian.PutUint64(b, key)
	return xxhash.Sum64(append(b, identity...))
}
