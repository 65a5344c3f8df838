package suspicion

import "time"

// Period is the quarantine of an attribute as the control log shows it.
type Period struct {
	// Version is the version of the section at the last change of the attribute's standing; a higher one is newer.
	Version uint64 `cbor:"version"`
	// Quarantined is false once the attribute has been cleared.
	Quarantined bool `cbor:"quarantined"`
	// FirstLoss is when the first loss that counts was recorded, in milliseconds since 1970.
	FirstLoss int64 `cbor:"first-loss,omitempty"`
	// Release is when the attribute is released, in milliseconds since 1970; zero if only an operator clears it.
	Release int64 `cbor:"release,omitempty"`
	// Kind is what the attribute is.
	Kind Kind `cbor:"kind,omitempty"`
	// Workspace is the only workspace whose requests are meant; empty for all.
	Workspace string `cbor:"workspace,omitempty"`
	// With are the parts that a request must hold too, because each one that lost a server did.
	With []Fingerprint `cbor:"with,omitempty"`
	// Age is how long before the last change the first loss was; zero if not stated.
	Age time.Duration `cbor:"age,omitempty"`
	// Suspected is set if one more lost server quarantines the part. Entries that know answers refute it already.
	Suspected bool `cbor:"suspected,omitempty"`
	// Delay is how long after an entry has learned of it the quarantine is in force there, so that entries that
	// know answers can refute it before.
	Delay time.Duration `cbor:"delay,omitempty"`
	// ProbeAfter is how long after an entry has learned of the period it may ask the control log to let one request
	// with the part through; zero for never.
	ProbeAfter time.Duration `cbor:"probe-after,omitempty"`
}

// answeredAfter returns from when on, on the clock of a process that learns of the period now, an answer
// refutes it. The clocks of processes differ, so that the age goes before the time of the first loss.
func (p Period) answeredAfter(now time.Time) time.Time {
	if p.Age > 0 {
		return now.Add(-p.Age)
	}
	return time.UnixMilli(p.FirstLoss)
}

// inForceAt returns from when on requests are refused at a process that learns of the period now. One that learns of
// it late, as after its start, doesn't wait for others any more.
func (p Period) inForceAt(now time.Time) time.Time {
	at, others := now.Add(p.Delay), time.UnixMilli(p.FirstLoss).Add(p.Age+p.Delay)
	if others.Before(at) {
		return others
	}
	return at
}

// appliesTo returns whether a request of the workspace that holds the attribute is meant.
func (p Period) appliesTo(workspace string, a Attributes) bool {
	if p.Workspace != "" && p.Workspace != workspace {
		return false
	}
	return containsAll(a.Parts, p.With)
}
