package route

// ReportedQueue is the name of the element that estimates the wait from the server's load report.
const ReportedQueue = "reported-queue"

type reportedQueue struct{}

func (reportedQueue) Name() string { return ReportedQueue }

// Apply sets the wait from the report alone, minus the tokens computed since.
func (reportedQueue) Apply(q *Query, c *Candidate, e *Estimate) {
	left := float64(c.Load.QueuedTokens) - drained(q, c)
	e.Backlog = max(left, 0) / prefillRate(c)
	e.Wait = e.Backlog
}

// drained returns the number of tokens that the server can have computed since its report.
func drained(q *Query, c *Candidate) float64 {
	return max(q.Now.Sub(c.ReportedAt).Seconds(), 0) * prefillRate(c)
}
