package model

import (
	"slices"
	"time"
)

// Result is what one run gave, for arrivals in the measured time.
type Result struct {
	// Classes has a row for each class of the deployment.
	Classes []ClassResult
	// Recomputed is the share of prompt tokens that had been computed before and were computed again.
	Recomputed float64
	// LinkBytes is the number of bytes over each store's link.
	LinkBytes []int64
	// LinkBusy is the part of the time that each store's link was busy.
	LinkBusy []float64
	// Arrived is the number of requests.
	Arrived int
	// Answered is the number of requests with a first token within the deadline.
	Answered int
	// Refused is the number of requests that were refused at once.
	Refused int
	// Late is the number of requests without a first token at their deadline.
	Late int
	// Lost is the number of requests that failed or whose outcome nobody knows.
	Lost int
	// Wrong is the number of answers that were made with a piece the engine did not hold.
	Wrong int
	// Goodput is the number of requests answered within the deadline, per second.
	Goodput float64
	// Worth is the sum of the worths of those, per second.
	Worth float64
	// WorthShare is the part of the worth of all arrivals.
	WorthShare float64
	// LeastServed is the smallest part that was answered of any workspace's requests of one class;
	// Config.Flooder and groups of fewer than 100 requests are left out.
	LeastServed float64
}

// ClassResult is what one class got.
type ClassResult struct {
	// Name is the class.
	Name string
	// Arrived is the number of its requests.
	Arrived int
	// Answered is the number with a first token within the deadline.
	Answered int
	// Refused is the number that were refused.
	Refused int
	// P50, P95 and P99 are quantiles of the time to first token of the answered.
	P50, P95, P99 time.Duration
}

// result sums up the requests that arrived in the measured time.
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
		x.LinkBytes = append(x.LinkBytes, s.link.moved-r.marks[i].moved)
		x.LinkBusy = append(x.LinkBusy, (s.link.busy-r.marks[i].busy).Seconds()/r.config.Measured.Seconds())
	}
	return x
}

// quantile returns the smallest value that is not under a part of the sorted values.
func quantile(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(part * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}

func (c *ClassResult) quantiles(times []time.Duration) {
	slices.Sort(times)
	c.P50 = quantile(times, 0.50)
	c.P95 = quantile(times, 0.95)
	c.P99 = quantile(times, 0.99)
}
