package route

// defaultPrefillRate is the assumed prefill rate, in tokens per second, of a server that has not
// reported one.
const defaultPrefillRate = 2000

// prefillRate returns the reported rate, or a conservative default for a server that has just
// announced itself. A rate of zero would make each estimate infinite or NaN, and such candidates
// would be chosen by their order alone.
func prefillRate(c *Candidate) float64 {
	if c.Load.PrefillRate > 0 {
		return c.Load.PrefillRate
	}
	return defaultPrefillRate
}
