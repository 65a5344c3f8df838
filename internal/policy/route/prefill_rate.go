package route

// assumedRate is the prefill speed of a server that has not reported one, in tokens a second.
const assumedRate = 2000

// prefillRate returns the reported speed, or a cautious one for a server that has just announced
// itself: a rate of zero would make each estimate infinite or not a number, and the
// choice between such candidates would be that of their order.
func prefillRate(c *Candidate) float64 {
	if c.Load.PrefillRate > 0 {
		return c.Load.PrefillRate
	}
	return assumedRate
}
