package weights

import "time"

// drainEstimate is a moving average of how long drains of engines take; zero before the first one.
type drainEstimate time.Duration

// expected returns how long a drain with that timeout is expected to take.
func (d drainEstimate) expected(timeout time.Duration) time.Duration {
	if d == 0 {
		return timeout
	}
	return min(time.Duration(d), timeout)
}

// recordDrain records how long a drain took.
func (r *rollout) recordDrain(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drainEstimate == 0 {
		r.drainEstimate = drainEstimate(took)
		return
	}
	r.drainEstimate += drainEstimate(latestDrainWeight * float64(took-time.Duration(r.drainEstimate)))
}
