package suspicion

import (
	"maps"
	"slices"
	"time"
)

const (
	// untilCleared is the retry time of a request that only an operator clears.
	untilCleared = 10 * time.Minute
	// permitTime is how long a granted probe may begin.
	permitTime = 10 * time.Second
	// askAgain is how long after it has asked for a probe a process asks again.
	askAgain = 10 * time.Second
	// maxKnown is how many attributes are known before those that are cleared are forgotten.
	maxKnown = 16384
)

// Register holds the quarantined attributes that a process knows of, and the answers that refute them. It is
// not safe for concurrent use.
type Register struct {
	known   map[Fingerprint]*entry
	answers answers
	// wanted are quarantined parts for which a probe is to be asked for.
	wanted []Fingerprint
	// refuted are suspected and quarantined attributes of requests that were answered, to be reported.
	refuted []Fingerprint
}

// entry is what is known of one attribute.
type entry struct {
	Period
	// inForce is from when on requests with the attribute are refused.
	inForce time.Time
	// refuted is set once this process has refuted the period itself.
	refuted bool
	// askAt is when a probe may be asked for, zero for never.
	askAt time.Time
	// permitUntil is until when one request may be sent as a probe, and prober the request that is.
	permitUntil time.Time
	prober      Fingerprint
}

// permits returns whether a request may be sent as a probe: the first one for which nothing else is refused, and its
// repetitions.
func (e *entry) permits(request Fingerprint, now time.Time) bool {
	return now.Before(e.permitUntil) && (e.prober == (Fingerprint{}) || e.prober == request)
}

// Match is a quarantined attribute of a request.
type Match struct {
	// Fingerprint identifies the attribute.
	Fingerprint Fingerprint
	// Kind is what it is.
	Kind Kind
	// RetryAfter is how long the request isn't to be sent.
	RetryAfter time.Duration
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{known: map[Fingerprint]*entry{}, answers: newAnswers()}
}

// Apply applies the quarantine of an attribute. It returns whether that is news, and whether answers of this
// process refute it.
func (r *Register) Apply(f Fingerprint, p Period, now time.Time) (news, refuted bool) {
	old, ok := r.known[f]
	if ok && p.Version <= old.Version {
		return false, false
	}
	e := &entry{Period: p, inForce: p.inForceAt(now), refuted: (p.Quarantined || p.Suspected) && r.Refutes(f, p, now)}
	if p.ProbeAfter > 0 {
		e.askAt = now.Add(p.ProbeAfter)
	}
	if ok && old.Quarantined && old.inForce.Before(e.inForce) {
		e.inForce = old.inForce
	}
	if ok {
		e.permitUntil, e.prober = old.permitUntil, old.prober
	}
	if !ok && len(r.known) >= maxKnown {
		maps.DeleteFunc(r.known, func(_ Fingerprint, e *entry) bool { return !e.Quarantined && !e.Suspected })
	}
	r.known[f] = e
	r.refuted = slices.DeleteFunc(r.refuted, func(x Fingerprint) bool { return x == f })
	if e.refuted {
		r.refuted = append(r.refuted, f)
	}
	return true, e.refuted
}

// Knows returns whether the register knows an attribute.
func (r *Register) Knows(f Fingerprint) bool {
	_, ok := r.known[f]
	return ok
}

// Missing returns the suspected and quarantined attributes that aren't listed.
func (r *Register) Missing(listed map[Fingerprint]bool) []Fingerprint {
	var missing []Fingerprint
	for f, e := range r.known {
		if (e.Quarantined || e.Suspected) && !listed[f] {
			missing = append(missing, f)
		}
	}
	return missing
}

// Answered records that a server has answered a request with these attributes.
func (r *Register) Answered(a Attributes, now time.Time) {
	r.answers.record(a, now)
	for f := range a.all {
		if e, ok := r.known[f]; ok && (e.Quarantined || e.Suspected) && !e.refuted {
			e.refuted = true
			r.refuted = append(r.refuted, f)
		}
	}
}

// Refutes returns whether answers of this process refute a period.
func (r *Register) Refutes(f Fingerprint, p Period, now time.Time) bool {
	return r.answers.since(f, p.answeredAfter(now)) || p.Kind == Part && r.answers.sound(f)
}

// Unanswered returns those parts of a run that may have ended its server: all that weren't among what was answered
// last.
func (r *Register) Unanswered(a Attributes) []Fingerprint {
	var parts []Fingerprint
	for _, p := range a.Parts {
		if !r.answers.sound(p) {
			parts = append(parts, p)
		}
	}
	return parts
}

// Match returns the attribute for which a request of the workspace is refused, and false if it may be sent.
func (r *Register) Match(workspace string, a Attributes, now time.Time) (Match, bool) {
	var probed []*entry
	for f := range a.all {
		e, ok := r.known[f]
		if !ok || !e.Quarantined || now.Before(e.inForce) || e.Kind == Part && e.refuted || !e.appliesTo(workspace, a) {
			continue
		}
		if e.permits(a.Request, now) {
			probed = append(probed, e)
			continue
		}
		if !e.askAt.IsZero() && !now.Before(e.askAt) {
			e.askAt = now.Add(askAgain)
			r.wanted = append(r.wanted, f)
		}
		after := untilCleared
		if e.Release != 0 {
			after = time.UnixMilli(e.Release).Sub(now)
		}
		if after > 0 {
			return Match{Fingerprint: f, Kind: e.Kind, RetryAfter: after}, true
		}
	}
	for _, e := range probed {
		e.prober = a.Request
	}
	return Match{}, false
}

// Wanted returns a quarantined part for which a probe is to be asked for, and false if there is none.
func (r *Register) Wanted() (Fingerprint, bool) {
	if len(r.wanted) == 0 {
		return Fingerprint{}, false
	}
	return r.wanted[0], true
}

// Asked records the answer to what Wanted returned.
func (r *Register) Asked(f Fingerprint, granted bool, now time.Time) {
	r.wanted = slices.DeleteFunc(r.wanted, func(x Fingerprint) bool { return x == f })
	if e, ok := r.known[f]; ok && granted {
		e.permitUntil, e.prober = now.Add(permitTime), Fingerprint{}
	}
}

// Lost records that a server was lost under a request with these attributes, which ends its probe.
func (r *Register) Lost(a Attributes) {
	for f := range a.all {
		if e, ok := r.known[f]; ok && e.prober == a.Request {
			e.permitUntil = time.Time{}
		}
	}
}

// Refuted returns the suspected and quarantined attributes that answers of this process refute and that weren't dropped yet.
func (r *Register) Refuted() []Fingerprint {
	return slices.Clone(r.refuted)
}

// DropRefuted drops attributes that have been reported.
func (r *Register) DropRefuted(reported []Fingerprint) {
	r.refuted = slices.DeleteFunc(r.refuted, func(f Fingerprint) bool { return slices.Contains(reported, f) })
}

// Len returns how many attributes are quarantined.
func (r *Register) Len() int {
	n := 0
	for _, e := range r.known {
		if e.Quarantined {
			n++
		}
	}
	return n
}
