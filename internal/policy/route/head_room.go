package route

// HeadRoom is the name of the element that keeps reserve servers free.
const HeadRoom = "head-room"

// UrgentBand is the lowest priority band that reserve servers are kept for.
const UrgentBand = 5

// headRoom keeps long work off the reserve servers. An engine looks at its
// queue only between chunks, so an urgent request waits for a chunk of a draft
// even where it goes first; on a server without drafts it doesn't.
type headRoom struct {
	delay float64 // what one must gain, in seconds, to use a reserve server
}

func (headRoom) Name() string { return HeadRoom }

// Apply adds a penalty to a reserve server for work that is not urgent.
func (h headRoom) Apply(q *Query, c *Candidate, e *Estimate) {
	if !c.Reserve || q.Band >= UrgentBand {
		return
	}
	e.Penalty += h.delay * q.Request.Rules.FirstTokenPrice
}
