package membership

import "time"

// transitWindow is how long evidence counts at least; two clocks that differ by 500 parts in a million drift apart by 60 ms within two of them.
const transitWindow = time.Minute

// transit estimates when a server started, and with it how long its announcements were on their way.
//
// An announcement that waited in a broken connection, or in the socket of an
// entry that was frozen, says "ready" long after its server has said "leaving"
// elsewhere. Taken as fresh it would draw work for seconds. The server's
// uptime shows the wait: the start plus the uptime is when the announcement
// was made. Gossip proves a time before which the server did not start; where
// there is none, the earliest start that direct announcements allow is taken.
type transit struct {
	since  time.Time
	proved [2]time.Time
	direct [2]time.Time
}

// arrived takes in an announcement that came from the server itself and returns how long it was on its way.
func (t *transit) arrived(now time.Time, uptime time.Duration) time.Duration {
	t.turn(now)
	start := now.Add(-uptime)
	if t.direct[0].IsZero() || start.Before(t.direct[0]) {
		t.direct[0] = start
	}
	return max(0, start.Sub(t.start()))
}

// prove takes in that an announcement was made at heard or later.
func (t *transit) prove(now, heard time.Time, uptime time.Duration) {
	t.turn(now)
	if start := heard.Add(-uptime); start.After(t.proved[0]) {
		t.proved[0] = start
	}
}

// turn makes the evidence of the last window the older one.
func (t *transit) turn(now time.Time) {
	if now.Sub(t.since) <= transitWindow {
		return
	}
	t.since = now
	t.proved = [2]time.Time{{}, t.proved[0]}
	t.direct = [2]time.Time{{}, t.direct[0]}
}

// start returns the estimate of the server's start.
func (t *transit) start() time.Time {
	least := t.direct[0]
	if !t.direct[1].IsZero() && t.direct[1].Before(least) {
		least = t.direct[1]
	}
	proved := t.proved[0]
	if t.proved[1].After(proved) {
		proved = t.proved[1]
	}
	if proved.IsZero() || least.Before(proved) {
		return least
	}
	return proved
}
