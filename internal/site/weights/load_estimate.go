package weights

import "time"

const (
	// defaultLoadTime is the assumed duration of a load before one has ended.
	defaultLoadTime = 2 * time.Second
	// latestLoadWeight is the weight of the latest load in the moving average.
	latestLoadWeight = 0.3
)

// loadEstimate is a moving average of how long engines take to load weights.
type loadEstimate struct {
	mean time.Duration
	// measured is set once a load has ended.
	measured bool
}

func newLoadEstimate() loadEstimate {
	return loadEstimate{mean: defaultLoadTime}
}

// measuredLoadTime returns the average duration of a load, zero before the first one has ended.
func (r *rollout) measuredLoadTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loadEstimate.measured {
		return 0
	}
	return r.loadEstimate.mean
}

// recordLoad records how long a load took, from its order to the engine's report that it has the weights.
func (r *rollout) recordLoad(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loadEstimate.measured {
		r.loadEstimate = loadEstimate{mean: took, measured: true}
		return
	}
	r.loadEstimate.mean += time.Duration(latestLoadWeight * float64(took-r.loadEstimate.mean))
}
