package model

import (
	"slices"
	"time"
)

// Result is the result of one run, for arrivals in the measured time.
type Result struct {
	// Classes has a row for each class of the deployment.
	Classes []ClassResult
	// Recomputed is the fraction of prompt tokens that had been computed before and were computed
	// again.
	Recomputed float64
	// LinkBytes is the number of bytes transferred over the link of each store.
	LinkBytes []int64
	// LinkBusy is the fraction of the time in which the link of each store was busy.
	LinkBusy []float64
	// Arrived is the number of requests.
	Arrived int
	// Answered is the number of requests with a first token within the deadline.
	Answered int
	// Refused is the number of requests that were refused at once.
	Refused int
	// Late is the number of requests without a first token at their deadline.
	Late int
	// Lost is the number of requests that failed or whose outcome is unknown.
	Lost int
	// Wrong is the number of answers that were generated although the engine did not hold all
	// pieces of the prompt.
	Wrong int
	// Goodput is the number of requests answered within the deadline, per second.
	Goodput float64
	// Worth is the sum of the worths of the answered requests, per second.
	Worth float64
	// WorthShare is the fraction of the worth of all arrivals that the answered requests have.
	WorthShare float64
	// LeastServed is the smallest fraction of answered requests among the groups of one workspace
	// and one class. Config.Flooder and groups of fewer than 100 requests are left out.
	LeastServed float64
}

// ClassResult is the result of one class.
type ClassResult struct {
	// Name is the name of the class.
	Name string
	// Arrived is the number of its requests.
	Arrived int
	// Answered is the number of its requests with a first token within the deadline.
	Answered int
	// Refused is the number of its requests that were refused.
	Refused int
	// P50, P95 and P99 are quantiles of the time to first token of the answered requests.
	P50, P95, P99 time.Duration
}

// result summarizes the requests that arrived in the measured time.
func (r *run) result(links Result) Result {
	s := newSummary(r, links)
	for _, q := range r.requests {
		if q.arrival.At >= r.config.Warmup {
			s.add(q)
		}
	}
	return s.done()
}

func (r *run) links() Result {
	var x Result
	for i, s := range r.stores {
		x.LinkBytes = append(x.LinkBytes, s.link.transferred-r.linkBaselines[i].transferred)
		x.LinkBusy = append(x.LinkBusy, (s.link.busy-r.linkBaselines[i].busy).Seconds()/r.config.Measured.Seconds())
	}
	return x
}

// quantile returns the value at a quantile, from 0 to 1, of the sorted values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}

func (c *ClassResult) quantiles(times []time.Duration) {
	slices.Sort(times)
	c.P50 = quantile(times, 0.50)
	c.P95 = quantile(times, 0.95)
	c.P99 = quantile(times, 0.99)
}
