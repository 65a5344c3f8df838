package watch

import "time"

// rounds are the moments at which changes are answered.
type rounds struct {
	// last is the latest one that was asked for.
	last time.Time
}

// next returns when a change that is there now is answered: with the round that is
// being gathered, or in a moment when the last one is at least pause ago.
//
// Were each change gathered for as long as continual ones must be, an order or a
// document that comes after a quiet time would wait for nothing.
func (r *rounds) next(now time.Time, pause time.Duration) time.Time {
	if now.Before(r.last) {
		return r.last
	}
	soon, due := now.Add(batchPause), r.last.Add(pause)
	r.last = soon
	if due.After(soon) {
		r.last = due
	}
	return r.last
}
