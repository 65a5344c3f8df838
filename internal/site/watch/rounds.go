package watch

import "time"

// rounds schedules the times at which polls are answered.
type rounds struct {
	// last is the time of the latest scheduled round.
	last time.Time
}

// next returns when a change that exists now is answered: in the round that is
// already scheduled, or after batchDelay when the last round is at least interval ago.
//
// If each change were delayed for as long as continual ones must be, an order or a
// document that arrives after a quiet time would wait for no benefit.
func (r *rounds) next(now time.Time, interval time.Duration) time.Time {
	if now.Before(r.last) {
		return r.last
	}
	batched, spaced := now.Add(batchDelay), r.last.Add(interval)
	r.last = batched
	if spaced.After(batched) {
		r.last = spaced
	}
	return r.last
}
