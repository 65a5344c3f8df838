package route

// WorkInFlight is the name of the element that corrects the report by the work sent since.
const WorkInFlight = "work-in-flight"

// workInFlight adds what this entry and its peers sent since the report.
// Without it all entries send to the server that was idle at its last
// report until the next one shows the pile: one sees servers swing between
// idle and full with the period of the reports.
type workInFlight struct{}

func (workInFlight) Name() string { return WorkInFlight }

// Apply adds the work sent since the report. Work in flight has no first token
// yet, so nothing of it counts as computed.
func (workInFlight) Apply(_ *Query, c *Candidate, e *Estimate) {
	e.Backlog += float64(c.Since.Total()) / prefillRate(c)
	e.Wait = e.Backlog
}
