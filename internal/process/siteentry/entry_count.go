package siteentry

import "time"

// countHoldTime is how long a lower number of entries must be reported before it is used. All entries poll a
// newly started replica within a second or two.
const countHoldTime = 5 * time.Second

// entryCount is the number of entries that share the servers, as reported by the replicas.
//
// It rises at once and falls with a delay. Replicas that have just started know only those entries that have
// polled them since. By their count each entry would take the whole capacity of a server and the whole retry
// budget for itself.
type entryCount struct {
	number int
	// lowerSince is since when lower numbers have been reported, zero while none is.
	lowerSince time.Time
}

// observe applies the number that is reported now.
func (c *entryCount) observe(n int, now time.Time) {
	switch {
	case n >= c.number || !c.lowerSince.IsZero() && now.Sub(c.lowerSince) > countHoldTime:
		c.number, c.lowerSince = n, time.Time{}
	case c.lowerSince.IsZero():
		c.lowerSince = now
	}
}
