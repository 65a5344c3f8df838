package route

// Suspects is the name of the element that avoids servers that may be lost.
const Suspects = "suspects"

type suspects struct{}

func (suspects) Name() string { return Suspects }

// Apply bars a suspect and a server that must run its request alone.
func (suspects) Apply(_ *Query, c *Candidate, e *Estimate) {
	if c.Suspect || c.RunsAlone {
		e.Bar = MaybeLost
	}
}
