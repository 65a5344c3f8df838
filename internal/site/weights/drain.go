package weights

import (
	"context"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/directory"
)

// drainTime returns how long an engine may be drained while so many are still to load.
//
// Where engines load quickly and new weights must be everywhere soon, draining
// takes most of the time; the last engines would begin requests on old weights
// after that. The last ones still have to load once they are drained.
func (r *rollout) drainTime(model string, engines, most int) time.Duration {
	if r.Deadline <= 0 {
		return drainMost
	}
	left := time.Duration(finishedBy*float64(r.Deadline)) - time.Since(r.noticed[model].at) - r.learnt()
	rounds := (engines + most - 1) / most
	return max(drainLeast, min(drainMost, left/time.Duration(rounds)))
}

// early returns whether those that load have begun so lately that the next ones
// would be drained long before a place is free: an engine that waits drained
// serves nobody.
func (r *rollout) early(most int, drain time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lead, lately := r.pace.load-drain, 0
	for _, at := range r.began {
		if time.Since(at) < lead {
			lately++
		}
	}
	return lately+len(r.draining) >= most
}

// drain waits until the engine's requests have ended, or for as long as it may
// take; it returns false when the engine doesn't answer.
func (r *rollout) drain(ctx context.Context, s directory.Server, most time.Duration) bool {
	began := time.Now()
	for ctx.Err() == nil {
		p, err := r.report(ctx, s)
		if err != nil {
			r.notAsked(s, err)
			return false
		}
		took := time.Since(began)
		if took >= drainLeast && (p.Running+p.Waiting == 0 || took >= most) {
			return true
		}
		wait.For(ctx, max(lookInterval, drainLeast-took))
	}
	return false
}
