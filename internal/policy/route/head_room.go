package route

// HeadRoom is the name of the element that keeps reserve servers free.
const HeadRoom = "head-room"

// UrgentBand is the lowest priority band that reserve servers are kept for.
const UrgentBand = 5

// headRoom prices long work on a reserve server, more for each further one that
// it takes, and leaves half of the reserve free of it. An engine looks at its
// queue only between chunks, so that an urgent request waits for a chunk of a
// draft even where it goes first; on a server without drafts it doesn't.
type headRoom struct {
	delay float64 // what one must gain, in seconds, to use a reserve server
}

func (headRoom) Name() string { return HeadRoom }

// Apply adds a penalty to a reserve server for work that is not urgent.
func (h headRoom) Apply(q *Query, c *Candidate, e *Estimate) {
	if !c.Reserve || q.Band >= UrgentBand {
		return
	}
	gain := h.delay
	if !busy(c) {
		e.Bar = max(e.Bar, keep(q))
		gain *= float64((1 + q.busyReserve) * (1 + q.busyReserve))
	}
	e.Penalty += gain * q.Request.Rules.FirstTokenPrice
}

// keep returns KeptFree when only half of the reserve is free of long work.
func keep(q *Query) Bar {
	if q.reserve-q.busyReserve <= q.reserve/2 {
		return KeptFree
	}
	return Open
}

// busy returns whether c has work that is not urgent.
func busy(c *Candidate) bool {
	return c.InFlight.Below(UrgentBand) > 0
}

// countReserve returns the number of reserve servers that have such work.
func countReserve(all []Candidate) (reserve, n int) {
	for i := range all {
		if all[i].Reserve {
			reserve++
		}
		if all[i].Reserve && busy(&all[i]) {
			n++
		}
	}
	return reserve, n
}
