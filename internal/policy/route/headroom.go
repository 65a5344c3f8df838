package route

// Headroom is the name of the element that keeps reserve servers free for urgent requests.
const Headroom = "head-room"

// UrgentBand is the lowest priority band that counts as urgent; reserve servers are kept free for
// it and above.
const UrgentBand = 5

// headroom adds a penalty to long work on a reserve server, which grows with the number of reserve
// servers that already run such work, and keeps half of the reserve free of it. An engine checks
// its queue only between prefill chunks. An urgent request therefore waits for a chunk of a long
// prompt even if it goes first; on a server without long prompts it does not.
type headroom struct {
	minGain float64 // seconds that a request must save to use a reserve server
}

func (headroom) Name() string { return Headroom }

// Apply adds a penalty to a reserve server for a request that is not urgent.
func (h headroom) Apply(q *Query, c *Candidate, e *Estimate) {
	if !c.Reserve || q.Band >= UrgentBand {
		return
	}
	penalty := h.minGain
	if !hasLongWork(c) {
		e.Rank = max(e.Rank, reserveRank(q))
		penalty *= float64((1 + q.busyReserve) * (1 + q.busyReserve))
	}
	e.Penalty += penalty * q.Request.Rules.FirstTokenPrice
}

// reserveRank returns Reserved when at most half of the reserve servers are free of long work.
func reserveRank(q *Query) Rank {
	if q.reserve-q.busyReserve <= q.reserve/2 {
		return Reserved
	}
	return Preferred
}

// hasLongWork reports whether c has work in flight that is not urgent.
func hasLongWork(c *Candidate) bool {
	return c.InFlight.Below(UrgentBand) > 0
}

// countReserve returns the number of reserve servers and how many of them have work that is not
// urgent.
func countReserve(all []Candidate) (reserve, withLongWork int) {
	for i := range all {
		if all[i].Reserve {
			reserve++
		}
		if all[i].Reserve && hasLongWork(&all[i]) {
			withLongWork++
		}
	}
	return reserve, withLongWork
}
