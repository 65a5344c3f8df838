package membership

import "time"

// directWindow is how long a direct announcement counts as evidence at least.
const directWindow = 15 * time.Second

// transit estimates when a server started, and with it how long its announcements were on their way.
//
// An announcement that waited in a broken connection, or in the socket of an
// entry that was frozen, says "ready" long after its server has said "leaving"
// elsewhere. Taken as fresh it would draw work for seconds. The server's
// uptime shows the wait: the start plus the uptime is when the announcement
// was made. Gossip proves a time before which the server did not start; where
// there is none, the earliest start that direct announcements allow is taken.
type transit struct {
	proof  proof
	since  time.Time
	direct [2]time.Time
	streak streak
}

// arrived takes in an announcement that came from the server itself and returns how long it was on its way.
func (t *transit) arrived(now time.Time, uptime time.Duration) time.Duration {
	if now.Sub(t.since) > directWindow {
		t.since = now
		t.direct = [2]time.Time{{}, t.direct[0]}
	}
	start := now.Add(-uptime)
	if t.direct[0].IsZero() || start.Before(t.direct[0]) {
		t.direct[0] = start
	}
	if steady, ok := t.streak.add(now, start); ok {
		return start.Sub(steady)
	}
	return max(0, start.Sub(t.start(now)))
}

// start returns the estimate of the server's start.
func (t *transit) start(now time.Time) time.Time {
	least := t.direct[0]
	if !t.direct[1].IsZero() && t.direct[1].Before(least) {
		least = t.direct[1]
	}
	proved, ok := t.proof.start(now)
	if !ok || least.Before(proved) {
		return least
	}
	return proved
}
