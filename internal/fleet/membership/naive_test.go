package membership

import (
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// naiveTable uses the last message received and counts ages from its arrival.
type naiveTable map[string]naiveRecord

type naiveRecord struct {
	a  announcement.Announcement
	at time.Time
}

func (n naiveTable) merge(now time.Time, a announcement.Announcement) {
	n[a.Identity] = naiveRecord{a: a, at: now}
}

func (n naiveTable) eligible(now time.Time, identity string) (uint64, bool) {
	r, ok := n[identity]
	return r.a.Incarnation, ok && r.a.State == announcement.Ready && now.Sub(r.at) < MaxAge
}
