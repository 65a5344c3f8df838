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
// Continual changes must be delayed for longer than a single one. Delaying every change for that
// long would hold up an order or a document after a quiet time without any benefit.
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
