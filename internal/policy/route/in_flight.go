package route

// WorkInFlight is the name of the element that adds the work sent since the load report.
const WorkInFlight = "work-in-flight"

// workInFlight adds the work that this entry and its peers sent since the load report. Without it
// all entries send to the server that was idle at its last report until the next report shows its
// queue. Servers then oscillate between idle and full with the period of the reports.
type workInFlight struct{}

func (workInFlight) Name() string { return WorkInFlight }

// Apply adds the work sent since the report. Work in flight has no first token yet, so none of it
// is subtracted as computed.
func (workInFlight) Apply(_ *Query, c *Candidate, e *Estimate) {
	e.Backlog += float64(c.SentSinceReport.Total()) / prefillRate(c)
	e.Wait = e.Backlog
}
