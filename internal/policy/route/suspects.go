package route

// Suspects is the name of the element that avoids servers that may be lost.
const Suspects = "suspects"

type suspects struct{}

func (suspects) Name() string { return Suspects }

// Apply ranks a suspect server and a server that runs an exclusive request last.
func (suspects) Apply(_ *Query, c *Candidate, e *Estimate) {
	if c.Suspect || c.Exclusive {
		e.Rank = MaybeLost
	}
}
