package route

import "time"

// None is the Server of a Decision that found no server.
const None = -1

// Decision is the server for a request with the plan for its pieces and the reason.
type Decision struct {
	// Server is the index in Cell.Candidates, or None.
	Server int
	// Identity names the server; it is empty for None.
	Identity string
	// Plan has a step for each piece of the request.
	Plan []Step
	// TTFT is the expected time to first token.
	TTFT time.Duration
	// Cost is the price of the choice.
	Cost float64
	// Reason says why.
	Reason Reason
	// Estimates has one entry for each candidate in order, for the log line.
	Estimates []Estimate
}

// Chosen returns the estimate of the chosen server and whether there is one.
func (d *Decision) Chosen() (Estimate, bool) {
	if d.Server == None || d.Server >= len(d.Estimates) {
		return Estimate{Server: None}, false
	}
	return d.Estimates[d.Server], true
}

// seconds converts to a time.Duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
