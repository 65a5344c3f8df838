package route

// WorkInFlight is the name of the element that corrects the report by the work sent since.
const WorkInFlight = "work-in-flight"

// workInFlight adds what this entry and its peers sent since the report.
// Without it all entries send to the server that was idle at its last
// report until the next one shows the pile: one sees servers swing between
// idle and full with the period of the reports.
type workInFlight struct{}

func (workInFlight) Name() string { return WorkInFlight }

// Apply sets the backlog to what was reported and sent since, less what was computed.
func (workInFlight) Apply(q *Query, c *Candidate, e *Estimate) {
	reported := max(float64(c.Load.QueuedTokens)-drained(q, c), 0)
	e.Backlog = (reported + float64(c.Since.Total())) / c.Load.PrefillRate
	e.Wait = e.Backlog
}
