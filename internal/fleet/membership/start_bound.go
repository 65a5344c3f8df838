package membership

import "time"

const (
	// boundWindow is the minimum time for which a reading is used; the better bound of the current and the previous window is taken.
	boundWindow = time.Minute
	// driftDivisor is the inverse of the maximum rate difference between two clocks, 500 ppm.
	driftDivisor = 2000
)

// startBound is a lower bound of the local time at which another clock started.
//
// If a request sent at s returns the reading r, the other clock read r after
// s, so it started after s-r. Adding a later stamp to the bound gives the
// earliest time at which that stamp was made, however long its message takes.
type startBound struct {
	since  time.Time
	starts [2]time.Time
}

// add records that the other clock had the reading at the time made or later.
func (b *startBound) add(now, made time.Time, reading time.Duration) {
	if now.Sub(b.since) > boundWindow {
		b.since = now
		b.starts = [2]time.Time{{}, b.starts[0]}
	}
	if start := made.Add(-reading); start.After(b.starts[0]) {
		b.starts[0] = start
	}
}

// start returns the bound, reduced by the drift since the reading, and false if there is none.
func (b *startBound) start(now time.Time) (time.Time, bool) {
	best := b.starts[0]
	if b.starts[1].After(best) {
		best = b.starts[1]
	}
	if best.IsZero() {
		return time.Time{}, false
	}
	return best.Add(-(now.Sub(b.since) + boundWindow) / driftDivisor), true
}
