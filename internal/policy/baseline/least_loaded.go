package baseline

import (
	"math/rand/v2"
	"time"

	"hornbeamwood/internal/policy/route"
)

type leastLoaded struct {
	config Config
}

// NewLeastLoaded returns the strategy that chooses the server with the fewest queued prompt tokens:
// those in its report and those that this entry and its peers sent since.
func NewLeastLoaded(c Config) route.Strategy {
	return &leastLoaded{config: c}
}

func (s *leastLoaded) Name() string { return s.config.named("least-loaded") }

// Decide returns the server with the least work, a random one among equals.
func (s *leastLoaded) Decide(now time.Time, r *route.Request, c *route.Cell, random *rand.Rand) route.Decision {
	best, least, ties := route.None, 0.0, 0
	for _, i := range usable(c) {
		n := queued(now, &c.Candidates[i])
		if best != route.None && n > least {
			continue
		}
		if best == route.None || n < least {
			best, least, ties = i, n, 1
			continue
		}
		ties++
		if random.IntN(ties) == 0 {
			best = i
		}
	}
	return outcome(r, c, best, s.config.Imports, route.LeastLoaded)
}

// queued returns the seconds of prefill queued at a server.
func queued(now time.Time, c *route.Candidate) float64 {
	drained := c.Load.PrefillRate * now.Sub(c.ReportedAt).Seconds()
	left := max(float64(c.Load.QueuedTokens)-drained, 0) + float64(c.SentSinceReport.Total())
	return left / max(c.Load.PrefillRate, 1)
}
