package lease

import "time"

// rateMargin is the fraction of a lease that its holder leaves unused, since its clock may run slower than others.
const rateMargin = 0.05

// Term is a lease as measured by its holder's monotonic clock.
type Term struct {
	// Fencing is the lease's fencing number.
	Fencing uint64
	// Ends is when the holder stops considering the lease valid.
	Ends time.Time
	// Quiet is when the previous holder's lease has surely ended; before it the holder must give no orders.
	Quiet time.Time
}

// NewTerm returns the Term of a grant that was requested at sent, received at received and lasts for d.
func NewTerm(r Result, sent, received time.Time, d time.Duration) Term {
	t := Term{Fencing: r.Fencing, Quiet: received}.Renewed(sent, d)
	if r.Wait > 0 {
		t.Quiet = received.Add(r.Wait + fraction(r.Wait))
	}
	return t
}

// Renewed returns t after a renewal that was requested at sent and lasts for d.
func (t Term) Renewed(sent time.Time, d time.Duration) Term {
	t.Ends = sent.Add(d - fraction(d))
	return t
}

// Valid reports whether the lease is valid at now.
func (t Term) Valid(now time.Time) bool {
	return t.Fencing > 0 && now.Before(t.Ends)
}

// fraction returns the unused part of a lease of duration d.
func fraction(d time.Duration) time.Duration {
	return time.Duration(float64(d) * rateMargin)
}
