package membership

import (
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// source describes how an announcement was received.
type source struct {
	// direct is true if the server itself sent the announcement.
	direct bool
	// age is an upper bound of its age if it is not direct.
	age time.Duration
}

// madeAt returns the earliest time at which the announcement may have been made.
func (e *serverState) madeAt(now time.Time, a announcement.Announcement, src source) time.Time {
	uptime := time.Duration(a.UptimeMillis) * time.Millisecond
	if src.direct && uptime == 0 {
		return now
	}
	if src.direct {
		return now.Add(-e.delay.observe(now, uptime))
	}
	madeAt := now.Add(-src.age)
	if uptime > 0 {
		e.delay.bound.add(now, madeAt, uptime)
	}
	return madeAt
}
