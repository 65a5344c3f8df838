package membership

import "time"

const (
	// proofWindow is how long evidence counts at least; the best of two windows is used.
	proofWindow = time.Minute
	// driftParts is the inverse of the largest difference in rate between two clocks, 500 parts in a million.
	driftParts = 2000
)

// proof is the latest time that is proved to lie before another clock's start.
//
// Who asks at s and gets the reading r knows that the other clock read r after
// s, so it started after s-r. What it stamps later is dated by adding the
// reading, however long that is on its way.
type proof struct {
	since  time.Time
	starts [2]time.Time
}

// add takes in that the other clock had the reading at made or later.
func (p *proof) add(now, made time.Time, reading time.Duration) {
	if now.Sub(p.since) > proofWindow {
		p.since = now
		p.starts = [2]time.Time{{}, p.starts[0]}
	}
	if start := made.Add(-reading); start.After(p.starts[0]) {
		p.starts[0] = start
	}
}

// start returns the proved time and false when there is none; it allows for the drift since the evidence.
func (p *proof) start(now time.Time) (time.Time, bool) {
	best := p.starts[0]
	if p.starts[1].After(best) {
		best = p.starts[1]
	}
	if best.IsZero() {
		return time.Time{}, false
	}
	return best.Add(-(now.Sub(p.since) + proofWindow) / driftParts), true
}
