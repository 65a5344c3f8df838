package limit

import "time"

const (
	// usableShare is the part of a limit that the counted entries use. The rest is for entries
	// that have just started, and for the chance that many send at once.
	usableShare = 0.75
	// burstWindow is for how long an entry may still send a request that it could have sent
	// earlier. minBurst is how many such requests all entries together may keep in any case.
	burstWindow = 500 * time.Millisecond
	minBurst    = 1.0
	// A server tolerates toleranceRequests more than toleranceFactor times its limit in
	// toleranceWindow.
	toleranceWindow   = 4 * time.Second
	toleranceFactor   = 1.5
	toleranceRequests = 5.0
)

// announcedQuota is the requests per second that a server announces.
type announcedQuota float64

// entryRate implements quota.
func (q announcedQuota) entryRate(entries int) float64 {
	return usableShare * float64(q) / float64(max(1, entries))
}

// burst implements quota.
//
// Few entries may keep what a server tolerates even if all of them send it at once. With many
// entries, each of which seldom has a request to send, the total is limited to a few requests.
func (q announcedQuota) burst(entries int) float64 {
	n := float64(max(1, entries))
	tolerated := toleranceRequests + (toleranceFactor-usableShare)*float64(q)*toleranceWindow.Seconds()
	return max(q.entryRate(entries)*burstWindow.Seconds(), minBurst/n, tolerated/n-1)
}
