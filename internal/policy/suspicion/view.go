package suspicion

import (
	"maps"
	"time"
)

// quarantineRetry is the RetryAfter of a quarantined request; it leaves time for an operator to
// examine the request.
const quarantineRetry = 10 * time.Minute

// View is an entry's copy of the standings of the fleet at one version.
type View struct {
	version   uint64
	standings map[Fingerprint]Standing
}

// Change is the new standing of one fingerprint.
type Change struct {
	// Fingerprint is the fingerprint.
	Fingerprint Fingerprint `cbor:"f"`
	// Standing is its new standing.
	Standing Standing `cbor:"s"`
	// Part is the quarantine of a part of prompts; nil for a whole request, and once the attribute is forgotten.
	Part *Period `cbor:"p,omitempty"`
}

// Version returns the version of the fleet's standings that v contains.
func (v View) Version() uint64 {
	return v.version
}

// With returns a copy of v at a newer version; whole means that changes lists all standings. Those of parts are
// left to a Register.
func (v View) With(version uint64, changes []Change, whole bool) View {
	next := View{version: version, standings: map[Fingerprint]Standing{}}
	if !whole {
		maps.Copy(next.standings, v.standings)
	}
	for _, c := range changes {
		if c.Part != nil {
			continue
		}
		next.standings[c.Fingerprint] = c.Standing
		if c.Standing == Clear {
			delete(next.standings, c.Fingerprint)
		}
	}
	return next
}

// WithSuspect returns a copy of v, at the same version, in which f is at least a suspect.
func (v View) WithSuspect(f Fingerprint) View {
	if v.standings[f] == Quarantined {
		return v
	}
	return v.With(v.version, []Change{{Fingerprint: f, Standing: Suspect}}, false)
}

// Quarantined returns the number of quarantined fingerprints.
func (v View) Quarantined() int {
	n := 0
	for _, s := range v.standings {
		if s == Quarantined {
			n++
		}
	}
	return n
}

// Decision is how a request may run.
type Decision struct {
	// Standing is Clear for a request without restrictions, Suspect for one that needs a probe
	// slot, and Quarantined for one that is refused.
	Standing Standing
	// RetryAfter is set for a refusal.
	RetryAfter time.Duration
	// Reason is a clause for the log.
	Reason string
}

// Decide returns how a request with the given fingerprint may run.
func (v View) Decide(f Fingerprint) Decision {
	switch v.standings[f] {
	case Quarantined:
		return Decision{Standing: Quarantined, RetryAfter: quarantineRetry, Reason: "different servers were lost while they ran this request"}
	case Suspect:
		return Decision{Standing: Suspect, Reason: "a server was lost while it ran this request"}
	default:
		return Decision{Standing: Clear, Reason: "no server loss is attributed to the request"}
	}
}
