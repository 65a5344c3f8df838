package baseline

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/policy/route"
)

type roundRobin struct {
	config Config
	next   atomic.Uint64
}

// NewRoundRobin returns the strategy that uses the servers in rotation.
func NewRoundRobin(c Config) route.Strategy {
	return &roundRobin{config: c}
}

func (s *roundRobin) Name() string { return s.config.named("round-robin") }

// Decide returns the next server in the rotation.
func (s *roundRobin) Decide(_ time.Time, r *route.Request, c *route.Cell, _ *rand.Rand) route.Decision {
	indexes := usable(c)
	if len(indexes) == 0 {
		return outcome(r, c, route.None, false, route.NoCandidate)
	}
	i := indexes[(s.next.Add(1)-1)%uint64(len(indexes))]
	return outcome(r, c, i, s.config.Imports, route.RoundRobin)
}
