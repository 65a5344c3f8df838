package route

import "time"

// None is the value of Decision.Server when no server was found.
const None = -1

// Decision is the server chosen for a request, the plan for its pieces and the reason.
type Decision struct {
	// Server is the index in Cell.Candidates, or None.
	Server int
	// Identity is the identity of the server; it is empty for None.
	Identity string
	// Plan has a step for each piece of the request.
	Plan []Step
	// TTFT is the expected time to first token.
	TTFT time.Duration
	// Cost is the cost of the chosen server and plan.
	Cost float64
	// Reason is the reason for the choice.
	Reason Reason
	// Estimates holds the estimates of all candidates in order, for the log line.
	Estimates []Estimate
}

// Chosen returns the estimate of the chosen server and whether there is one.
func (d *Decision) Chosen() (Estimate, bool) {
	if d.Server == None || d.Server >= len(d.Estimates) {
		return Estimate{Server: None}, false
	}
	return d.Estimates[d.Server], true
}

// seconds converts seconds to a time.Duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
