package sitecontrol

import "time"

// orderPermit allows one order to a store or an engine.
type orderPermit struct {
	// fencing is the fencing number of the lease.
	fencing uint64
	// permittedAt is when the lease was looked at, and expires when the order may no longer be carried out, by the boot clock.
	permittedAt, expires time.Duration

	number uint64
}

// validFor returns how long after the look at the lease the order may be carried out.
func (p orderPermit) validFor() time.Duration {
	return p.expires - p.permittedAt
}

// orderLog records the permits of orders that got no response.
type orderLog struct {
	last    uint64
	expires map[uint64]time.Duration
}

// begin returns a new permit.
func (l *orderLog) begin(fencing uint64, now, expires time.Duration) orderPermit {
	if l.expires == nil {
		l.expires = map[uint64]time.Duration{}
	}
	for n, at := range l.expires {
		if now >= at {
			delete(l.expires, n)
		}
	}
	l.last++
	l.expires[l.last] = expires
	return orderPermit{fencing: fencing, permittedAt: now, expires: expires, number: l.last}
}

// end records that the order got a response.
func (l *orderLog) end(p orderPermit) {
	delete(l.expires, p.number)
}

// pending returns whether an order may still be carried out.
func (l *orderLog) pending(now time.Duration) bool {
	for _, at := range l.expires {
		if now < at {
			return true
		}
	}
	return false
}
