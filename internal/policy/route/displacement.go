package route

// Displacement is the name of the element that prices the delay of others.
const Displacement = "displacement"

// displacement prices a second of the server's time by the requests that are
// overtaken by it. Without it an urgent request with a long prompt is sent
// where it delays many others although another server is as fast for it.
type displacement struct{}

func (displacement) Name() string { return Displacement }

// Apply adds the first-token price of each request in flight that the request passes.
func (displacement) Apply(q *Query, c *Candidate, e *Estimate) {
	if c.PriorityAware {
		e.ComputePrice += c.InFlight.PriceBelow(q.Band)
	}
}
