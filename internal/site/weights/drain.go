package weights

import (
	"context"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/directory"
)

// drainTime returns how long an engine may be drained while the given number of engines have yet to load.
//
// When engines load quickly and the deadline is short, draining takes most of the
// time, and the last engines would still begin requests on old weights after the
// deadline. The estimate reserves time for these engines to load after their drain.
//
// A drain that is as long as a load delays no engine, because others load meanwhile. A
// shorter one would leave the rest of the requests to end in the engine's load slot.
func (r *rollout) drainTime(model string, engines, limit int) time.Duration {
	if r.Deadline <= 0 {
		return maxDrain
	}
	left := time.Duration(finishShare*float64(r.Deadline)) - time.Since(r.targets[model].at) - r.measuredLoadTime()
	rounds := (engines + limit - 1) / limit
	return max(minDrain, min(maxDrain, left/time.Duration(rounds)), r.measuredLoadTime())
}

// tooEarly returns whether the current loads have started so recently that the next engines
// would be drained long before a slot is free. A drained engine that waits for a slot
// serves no requests, so what counts is how long drains take, not how long they may.
func (r *rollout) tooEarly(limit int, timeout time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	leadTime, recent := r.loadEstimate.mean-r.drainEstimate.expected(timeout)-startDelay, 0
	for _, at := range r.loadStarted {
		if time.Since(at) < leadTime {
			recent++
		}
	}
	return recent+len(r.draining) >= limit
}

// drain waits until the engine's requests have ended or the timeout has passed.
// It returns false when the engine doesn't answer.
func (r *rollout) drain(ctx context.Context, s directory.Server, timeout time.Duration) bool {
	started := time.Now()
	for ctx.Err() == nil {
		p, err := r.report(ctx, s)
		if err != nil {
			r.handleCallError(s, err)
			return false
		}
		took := time.Since(started)
		idle := p.Running+p.Waiting == 0
		if took >= minDrain && (idle || took >= timeout) {
			r.recordDrain(took, idle)
			return true
		}
		wait.For(ctx, max(pollInterval, minDrain-took))
	}
	return false
}
