package route

// Displacement is the name of the element that prices the delay of others.
const Displacement = "displacement"

// displacement prices a second of the server's time by the requests that are
// overtaken by it. Without it an urgent request with a long prompt is sent
// where it delays many others although another server is as fast for it.
type displacement struct{}

func (displacement) Name() string { return Displacement }

// Apply raises the price of compute time by that of each request in flight that the request passes.
func (displacement) Apply(q *Query, c *Candidate, e *Estimate) {
	overtaken := c.InFlight.Below(q.Band)
	if !c.PriorityAware {
		overtaken = 0
	}
	e.ComputePrice += q.Request.Rules.FirstTokenPrice * float64(overtaken)
}
