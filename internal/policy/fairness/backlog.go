package fairness

import "time"

// Window is the work ahead at the chosen server over which a request waits at its entry.
// It is longer than what long work must gain to use the first two servers of a
// reserve, so that these are used before requests wait.
const Window = 10 * time.Second

// Hold returns whether a request waits at its entry: ahead is the work ahead at the chosen
// server, and others says whether a request of its band already waits.
func Hold(ahead time.Duration, others bool) bool {
	return others || ahead > Window
}

// Wait returns how long a request is expected to wait for its turn behind cost seconds of work at
// its own entry, when each of the entries holds as much for the servers.
func Wait(cost float64, entries, servers int) time.Duration {
	if servers <= 0 {
		return 0
	}
	return time.Duration(cost * float64(entries) / float64(servers) * float64(time.Second))
}
