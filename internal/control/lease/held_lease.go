package lease

import "time"

// rateMargin is the fraction of a lease that its holder leaves unused, since its clock may run slower than others.
const rateMargin = 0.05

// HeldLease is a lease as measured by its holder's monotonic clock.
type HeldLease struct {
	// Fencing is the lease's fencing number.
	Fencing uint64
	// ValidUntil is when the holder stops considering the lease valid.
	ValidUntil time.Time
	// ActiveFrom is when the previous holder's lease has surely ended; before it the holder must give no orders.
	ActiveFrom time.Time
}

// NewHeldLease returns the HeldLease of a grant that was requested at sent, received at received and lasts for d.
func NewHeldLease(r Result, sent, received time.Time, d time.Duration) HeldLease {
	t := HeldLease{Fencing: r.Fencing, ActiveFrom: received}.Renewed(sent, d)
	if r.Wait > 0 {
		t.ActiveFrom = received.Add(r.Wait + fraction(r.Wait))
	}
	return t
}

// Renewed returns t after a renewal that was requested at sent and lasts for d.
func (t HeldLease) Renewed(sent time.Time, d time.Duration) HeldLease {
	t.ValidUntil = sent.Add(d - fraction(d))
	return t
}

// Valid reports whether the lease is valid at now.
func (t HeldLease) Valid(now time.Time) bool {
	return t.Fencing > 0 && now.Before(t.ValidUntil)
}

// fraction returns the unused part of a lease of duration d.
func fraction(d time.Duration) time.Duration {
	return time.Duration(float64(d) * rateMargin)
}
