package caller

import (
	"time"

	"hornbeamwood/internal/site/document"
)

// patience returns how long one attempt may take: all that is left, unless
// another server could still answer in time after it.
//
// Cut off too early, an answer that was about to come is thrown away and made
// anew by a server that has even less time for it. And where the budget allows no
// repeat, it would be thrown away for nothing.
func (j *job) patience(now time.Time) time.Time {
	if !j.route.Repeatable() || j.runs+1 >= j.route.MaxAttempts || !j.Budget.Available(j.service.Name, now) {
		return j.deadline
	}
	first := firstPatience(j.route)
	if j.deadline.Sub(now) < 2*first {
		return j.deadline
	}
	return now.Add(first)
}

// firstPatience is how long the first server may take when there may be a
// second one: a few times what the route aims at, so that a slow answer isn't
// thrown away for one that begins anew.
func firstPatience(r document.Route) time.Duration {
	const times, least = 3, 200 * time.Millisecond
	return max(times*r.LatencyTarget, least)
}
