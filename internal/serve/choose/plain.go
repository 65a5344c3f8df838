package choose

import (
	"math/rand/v2"
	"time"
)

const (
	// otherZoneCost is what a server of another availability zone costs, in
	// shares of its slots: bytes between zones are dear, a half full server at
	// home isn't slower than an empty one elsewhere.
	otherZoneCost = 0.35
	// failureCost weighs the share of failures above the lowest one: a server that fails half its requests is passed over at any load.
	failureCost = 4.0
	// slowCost weighs how many times as long as the fastest a server takes, beyond the first doubling.
	slowCost = 0.25
	// coldCost is added for a server that has just started.
	coldCost = 0.4
	// jitter spreads equal choices of many entries.
	jitter = 0.02
)

// PlainPicker is a choice among the servers of a plain service.
type PlainPicker struct {
	// Now is the time of the decision.
	Now time.Time
	// Zone is the entry's availability zone.
	Zone string
	// Random draws the jitter.
	Random *rand.Rand
}

// Pick returns the index of the server to use and its cost, -1 without candidates.
//
// Failures are weighed against the best server of the service: where every
// tenth request fails by itself, none is to blame.
func (p PlainPicker) Pick(all []Candidate) (int, float64) {
	fewest, fastest := 1.0, time.Duration(0)
	for _, c := range all {
		fewest = min(fewest, c.Stats.Failures)
		if l := c.Stats.Latency; l > 0 && (fastest == 0 || l < fastest) {
			fastest = l
		}
	}
	return best(all, p.Now, func(i int) float64 { return p.cost(all[i], fewest, fastest) })
}

func (p PlainPicker) cost(c Candidate, fewest float64, fastest time.Duration) float64 {
	x := (c.load(p.Now) + 1) / float64(max(1, c.Server.Slots))
	x += failureCost * max(0, c.Stats.Failures-fewest-0.1)
	if c.Server.Zone != p.Zone {
		x += otherZoneCost
	}
	if c.Server.WarmUp > 0 {
		x += coldCost
	}
	if fastest > 0 {
		x += slowCost * max(0, float64(c.Stats.Latency)/float64(fastest)-2)
	}
	if p.Random != nil {
		x += jitter * p.Random.Float64()
	}
	return x
}
