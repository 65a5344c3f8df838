package waitqueue

import "time"

// Rank says who goes first.
type Rank struct {
	// OnTime is until when the answer has its full worth.
	OnTime time.Time
	// Urgency is the request's rank, 0 the most urgent.
	Urgency int
}

// before returns whether r goes before o.
//
// Among those of one urgency, one that can still be on time goes before one that
// is late already, and the one whose time is up first: served in the order of
// arrival, in a burst everybody would be late.
func (r Rank) before(o Rank, now time.Time) bool {
	late, otherLate := now.After(r.OnTime), now.After(o.OnTime)
	switch {
	case r.Urgency != o.Urgency:
		return r.Urgency < o.Urgency
	case late != otherLate:
		return otherLate
	}
	return r.OnTime.Before(o.OnTime)
}
