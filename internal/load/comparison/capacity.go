package comparison

import (
	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/load/workload"
	"hornbeamwood/internal/policy/baseline"
	"hornbeamwood/internal/policy/route"
)

// answeredShare is the part of the requests that must be answered in time at full load.
const answeredShare = 0.99

// Capacity returns the load that the servers can carry, in requests a second: the
// largest rate, in steps of a half, at which least loaded without stores answers
// 99 of 100 requests within their deadlines.
func Capacity(c Config, d workload.Deployment) float64 {
	low, high := 2, 200 // halves of a request a second
	for high-low > 1 {
		middle := (low + high) / 2
		if carries(c, d, float64(middle)/2) {
			low = middle
		} else {
			high = middle
		}
	}
	return float64(low) / 2
}

func carries(c Config, d workload.Deployment, rate float64) bool {
	alone := model.Contender{
		Name:     "least-loaded",
		Strategy: func() route.Strategy { return baseline.NewLeastLoaded(baseline.Config{}) },
	}
	r := Measure(c, []Cell{{Deployment: d, Contender: alone, Rate: rate}})[0].Result
	return float64(r.Answered) >= answeredShare*float64(r.Arrived)
}
