package fairness

import "time"

// BacklogThreshold is the backlog at the chosen server above which a request waits at its entry. It
// is longer than the time that long work must save to use the first two reserve servers, so that
// these are used before requests wait.
const BacklogThreshold = 10 * time.Second

// MustWait returns whether a request waits at its entry. ahead is the backlog at the chosen server, and
// othersWaiting reports whether another request of its band is already waiting.
func MustWait(ahead time.Duration, othersWaiting bool) bool {
	return othersWaiting || ahead > BacklogThreshold
}

// Wait returns how long a request is expected to wait behind cost seconds of work queued at its
// entry, assuming that every entry holds as much work for the servers.
func Wait(cost float64, entries, servers int) time.Duration {
	if servers <= 0 {
		return 0
	}
	return time.Duration(cost * float64(entries) / float64(servers) * float64(time.Second))
}
