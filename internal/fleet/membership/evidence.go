package membership

import (
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// evidence says how an announcement came here.
type evidence struct {
	// direct says that the server itself sent it.
	direct bool
	// age is an upper bound of its age when it is not direct.
	age time.Duration
}

// heard returns the earliest time at which the announcement may have been made.
func (e *entry) heard(now time.Time, a announcement.Announcement, x evidence) time.Time {
	uptime := time.Duration(a.UptimeMillis) * time.Millisecond
	if x.direct && uptime == 0 {
		return now
	}
	if x.direct {
		return now.Add(-e.transit.arrived(now, uptime))
	}
	heard := now.Add(-x.age)
	if uptime > 0 {
		e.transit.proof.add(now, heard, uptime)
	}
	return heard
}
