package choose

import (
	"math/rand/v2"
	"time"
)

const (
	// crossZoneCost is the cost of a server in another availability zone, as a share of its slots.
	// Traffic between zones is expensive, and a half-loaded server in the same zone is not slower
	// than an idle one elsewhere.
	crossZoneCost = 0.35
	// failureCost weights the failure rate above the lowest one of the service. A server that
	// fails half of its requests is avoided at any load.
	failureCost = 4.0
	// slowCost weights the ratio of the server's latency to that of the fastest server, beyond a
	// factor of two.
	slowCost = 0.25
	// minCompared is the least latency that others are compared with: a round trip between
	// availability zones. Below it connection set-up and scheduling decide, not the server.
	minCompared = 15 * time.Millisecond
	// coldCost is added for a server that is still warming up.
	coldCost = 0.4
	// jitter spreads equal choices of many entries.
	jitter = 0.02
)

// PlainPicker selects a server of a plain service.
type PlainPicker struct {
	// Now is the time of the decision.
	Now time.Time
	// Zone is the entry's availability zone.
	Zone string
	// Random is the source of the jitter.
	Random *rand.Rand
}

// Pick returns the index of the selected server and its cost, or -1 without candidates.
//
// Failure rates are compared with that of the best server of the service. If every server
// fails one request in ten, no single one is at fault.
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
		x += crossZoneCost
	}
	if c.Server.WarmUp > 0 {
		x += coldCost
	}
	if fastest > 0 {
		x += slowCost * max(0, float64(c.Stats.Latency)/float64(max(fastest, minCompared))-2)
	}
	if p.Random != nil {
		x += jitter * p.Random.Float64()
	}
	return x
}
