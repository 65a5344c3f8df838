package route

// Priorities is the name of the element that lets urgent requests pass long ones in the estimate.
const Priorities = "priorities"

// chunkTokens is how much of a long prefill an engine computes before it looks at its queue again.
const chunkTokens = 2048

// priorities counts only the work that an engine with a priority queue does first.
// Without it a short urgent request is sent away from a server whose queue it
// would pass, or waits in the estimate for drafts that it never waits for.
type priorities struct{}

func (priorities) Name() string { return Priorities }

// Apply scales the wait by the share of work in flight that goes before the request.
func (priorities) Apply(q *Query, c *Candidate, e *Estimate) {
	if !c.PriorityAware || e.Wait <= 0 {
		return
	}
	total := c.InFlight.Total()
	if total <= 0 {
		return
	}
	ahead := e.Backlog * float64(c.InFlight.From(q.Band)) / float64(total)
	chunk := min(chunkTokens/prefillRate(c), e.Backlog)
	e.Wait = min(max(ahead, chunk), e.Backlog)
}
