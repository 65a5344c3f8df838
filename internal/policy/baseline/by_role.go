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

// NewByRole returns inner on a fixed division: urgent requests go to the reserve servers only, all
// others to the rest only.
func NewByRole(inner route.Strategy) route.Strategy {
	return byRole{inner: inner}
}

func (s byRole) Name() string { return s.inner.Name() + "-by-role" }

// Decide marks the servers of the other role as suspect, which each baseline avoids.
func (s byRole) Decide(now time.Time, r *route.Request, c *route.Cell, random *rand.Rand) route.Decision {
	urgent := route.Band(r.Rules.Priority) >= route.UrgentBand
	divided := &route.Cell{Candidates: slices.Clone(c.Candidates), Stores: c.Stores}
	for i := range divided.Candidates {
		x := &divided.Candidates[i]
		x.Suspect = x.Suspect || x.Reserve != urgent
	}
	return s.inner.Decide(now, r, divided, random)
}
