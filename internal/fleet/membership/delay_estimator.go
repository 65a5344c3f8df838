package membership

import "time"

// directWindow is the minimum time for which a direct announcement is used.
const directWindow = 15 * time.Second

// delayEstimator estimates when a server started, and from that the network delay of its announcements.
//
// An announcement delayed in a broken connection, or in the socket of a
// suspended entry, is still "ready" long after its server has announced
// "leaving" elsewhere. If it counted as new, it would attract requests for
// seconds. The server's uptime reveals the delay: the announcement was made at
// the start plus the uptime. Gossip provides a lower bound of the start;
// without one, the earliest start implied by direct announcements is used.
type delayEstimator struct {
	bound  startBound
	since  time.Time
	direct [2]time.Time
	streak streak
}

// observe records a direct announcement and returns its estimated delay.
func (e *delayEstimator) observe(now time.Time, uptime time.Duration) time.Duration {
	if now.Sub(e.since) > directWindow {
		e.since = now
		e.direct = [2]time.Time{{}, e.direct[0]}
	}
	start := now.Add(-uptime)
	if e.direct[0].IsZero() || start.Before(e.direct[0]) {
		e.direct[0] = start
	}
	if steady, ok := e.streak.add(now, start); ok {
		return start.Sub(steady)
	}
	return max(0, start.Sub(e.start(now)))
}

// start returns the estimated start time of the server.
func (e *delayEstimator) start(now time.Time) time.Time {
	least := e.direct[0]
	if !e.direct[1].IsZero() && e.direct[1].Before(least) {
		least = e.direct[1]
	}
	bound, ok := e.bound.start(now)
	if !ok || least.Before(bound) {
		return least
	}
	return bound
}
