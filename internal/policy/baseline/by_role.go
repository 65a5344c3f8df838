package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"hornbeamwood/internal/policy/route"
)

type byRole struct {
	inner route.Strategy
}

// NewByRole returns inner with a fixed partition of the servers: urgent requests go only to the
// reserve servers, all others only to the rest.
func NewByRole(inner route.Strategy) route.Strategy {
	return byRole{inner: inner}
}

func (s byRole) Name() string { return s.inner.Name() + "-by-role" }

// Decide marks the servers of the other role as suspect, which every baseline avoids.
func (s byRole) Decide(now time.Time, r *route.Request, c *route.Cell, random *rand.Rand) route.Decision {
	urgent := route.Band(r.Rules.Priority) >= route.UrgentBand
	partitioned := &route.Cell{Candidates: slices.Clone(c.Candidates), Stores: c.Stores}
	for i := range partitioned.Candidates {
		x := &partitioned.Candidates[i]
		x.Suspect = x.Suspect || x.Reserve != urgent
	}
	return s.inner.Decide(now, r, partitioned, random)
}
