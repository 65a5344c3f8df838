package route

// Priorities is the name of the element that accounts for urgent requests overtaking long ones.
const Priorities = "priorities"

// chunkTokens is the number of tokens of a long prefill that an engine computes before it checks
// its queue again.
const chunkTokens = 2048

// priorities counts only the work that an engine with a priority queue computes first. Without it a
// short urgent request is sent away from a server whose queue it would overtake, or its estimate
// includes waiting for long prompts that it overtakes.
type priorities struct{}

func (priorities) Name() string { return Priorities }

// Apply scales the wait by the share of the work in flight that is computed before the request.
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
