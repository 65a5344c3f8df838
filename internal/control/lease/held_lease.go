package lease

import "time"

// rateMargin is the part of a lease that its holder leaves unused, since its clock may run slower than others.
const rateMargin = 0.05

// Term is a holder's own view of its lease, by its monotonic clock.
type Term struct {
	// Fencing is the lease's number.
	Fencing uint64
	// Ends is when the holder stops believing in the lease.
	Ends time.Time
	// Quiet is when the earlier holder has stopped; before it nothing is ordered.
	Quiet time.Time
}

// NewTerm returns the Term of a grant that was asked for at sent, got at received and lasts for d.
func NewTerm(r Result, sent, received time.Time, d time.Duration) Term {
	t := Term{Fencing: r.Fencing, Quiet: received}.Renewed(sent, d)
	if r.Wait > 0 {
		t.Quiet = received.Add(r.Wait + fraction(r.Wait))
	}
	return t
}

// Renewed returns t after a renewal that was asked for at sent and lasts for d.
func (t Term) Renewed(sent time.Time, d time.Duration) Term {
	t.Ends = sent.Add(d - fraction(d))
	return t
}

// Valid returns whether the holder may act at now.
func (t Term) Valid(now time.Time) bool {
	return t.Fencing > 0 && now.Before(t.Ends)
}

func fraction(d time.Duration) time.Duration {
	return time.Duration(float64(d) * rateMargin)
}
