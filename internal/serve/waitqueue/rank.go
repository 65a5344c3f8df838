package waitqueue

import "time"

// Rank determines the order in which requests are sent.
type Rank struct {
	// TargetTime is the latest time to send the request for its response to meet the latency target.
	TargetTime time.Time
	// Urgency is the priority of the request, 0 the most urgent.
	Urgency int
}

// before returns whether r goes before o.
//
// Within one urgency, a request that can still meet its target goes before one that is past
// it, then the one with the earlier target. In order of arrival, every request of a burst
// would miss its target.
func (r Rank) before(o Rank, now time.Time) bool {
	past, otherPast := now.After(r.TargetTime), now.After(o.TargetTime)
	switch {
	case r.Urgency != o.Urgency:
		return r.Urgency < o.Urgency
	case past != otherPast:
		return otherPast
	}
	return r.TargetTime.Before(o.TargetTime)
}
