package comparison

import (
	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/load/workload"
	"hornbeamwood/internal/policy/baseline"
	"hornbeamwood/internal/policy/route"
)

// answeredShare is the share of requests that must be answered in time at full load.
const answeredShare = 0.99

// Capacity returns the load that the servers can sustain, in requests a second: the
// largest rate, in steps of 0.5, at which least loaded without stores answers 99 of
// 100 requests within their deadlines.
func Capacity(c Config, d workload.Deployment) float64 {
	lowest, highest := 2, 200 // in units of 0.5 requests a second
	for highest-lowest > 1 {
		middle := (lowest + highest) / 2
		if sustains(c, d, float64(middle)/2) {
			lowest = middle
		} else {
			highest = middle
		}
	}
	return float64(lowest) / 2
}

func sustains(c Config, d workload.Deployment, rate float64) bool {
	leastLoaded := model.Variant{
		Name:     "least-loaded",
		Strategy: func() route.Strategy { return baseline.NewLeastLoaded(baseline.Config{}) },
	}
	r := Measure(c, []Case{{Deployment: d, Variant: leastLoaded, Rate: rate}})[0].Result
	return float64(r.Answered) >= answeredShare*float64(r.Arrived)
}
