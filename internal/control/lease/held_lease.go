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
	l := HeldLease{Fencing: r.Fencing, ActiveFrom: received}.Renewed(sent, d)
	if r.Wait > 0 {
		l.ActiveFrom = received.Add(r.Wait + margin(r.Wait))
	}
	return l
}

// Renewed returns l after a renewal that was requested at sent and lasts for d.
func (l HeldLease) Renewed(sent time.Time, d time.Duration) HeldLease {
	l.ValidUntil = sent.Add(d - margin(d))
	return l
}

// Valid reports whether the lease is valid at now.
func (l HeldLease) Valid(now time.Time) bool {
	return l.Fencing > 0 && now.Before(l.ValidUntil)
}

// margin returns the unused part of a lease of duration d.
func margin(d time.Duration) time.Duration {
	return time.Duration(float64(d) * rateMargin)
}
