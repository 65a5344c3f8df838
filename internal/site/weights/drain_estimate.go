package weights

import "time"

// latestDrainWeight is the weight of the latest drain in the moving average.
const latestDrainWeight = 0.3

// drainEstimate is a moving average of how long drains take until the engine is idle; zero before the first one.
type drainEstimate time.Duration

// expected returns how long a drain with that timeout is expected to take.
func (d drainEstimate) expected(timeout time.Duration) time.Duration {
	if d == 0 {
		return timeout
	}
	return min(time.Duration(d), timeout)
}

// recordDrain records how long a drain took, and whether the engine was idle at its end. A drain that was
// cut short would have taken longer, so it never lowers the estimate.
func (r *rollout) recordDrain(took time.Duration, idle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean := time.Duration(r.drainEstimate)
	switch {
	case !idle && took < mean, !idle && mean == 0:
	case mean == 0:
		r.drainEstimate = drainEstimate(took)
	default:
		r.drainEstimate += drainEstimate(latestDrainWeight * float64(took-mean))
	}
}
