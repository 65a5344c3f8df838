package quarantine

import (
	"cmp"
	"slices"
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// record is one suspect or quarantined attribute.
type record struct {
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	Workspace   string                `cbor:"workspace"`
	Model       string                `cbor:"model"`
	Losses      []suspicion.Loss      `cbor:"losses"`
	Standing    suspicion.Standing    `cbor:"standing"`
	Window      time.Duration         `cbor:"window"`
	Hold        time.Duration         `cbor:"hold,omitempty"`
	Version     uint64                `cbor:"version"`
	// ChangedAt is when Version was assigned, in nanoseconds since 1970.
	ChangedAt int64 `cbor:"changed-at,omitempty"`
	// Limit is at how many lost servers the attribute is quarantined; zero for that of the last report.
	Limit int `cbor:"limit,omitempty"`
	// Kind is what the attribute is. The following fields are those of a part.
	Kind suspicion.Kind `cbor:"kind,omitempty"`
	// Shared is true once runs of several workspaces have lost servers under the part.
	Shared bool `cbor:"shared,omitempty"`
	// With are the companions of the part: those that all its runs held too.
	With []suspicion.Fingerprint `cbor:"with,omitempty"`
	// Delay is how long after entries have learned of it the quarantine is in force.
	Delay time.Duration `cbor:"delay,omitempty"`
	// Since is when entries were first told of the part, in nanoseconds since 1970; zero if they weren't.
	Since int64 `cbor:"since,omitempty"`
	// Probes counts the requests with the part that were let through, and ProbedAt is when the last one was, in
	// nanoseconds since 1970.
	Probes   int   `cbor:"probes,omitempty"`
	ProbedAt int64 `cbor:"probed-at,omitempty"`
}

const (
	// firstProbe is how long after a part was quarantined one request with it may be let through. Each further one
	// waits four times as long, at most maxProbePause: each one may cost a server.
	firstProbe    = time.Minute
	maxProbePause = time.Hour
)

// probePause returns how long it is from the last probe of a part to the next one.
func (r *record) probePause() time.Duration {
	pause := firstProbe
	for range r.Probes {
		pause = min(4*pause, maxProbePause)
	}
	return pause
}

// probeDue returns whether one request with the part may be let through.
func (r *record) probeDue(at time.Time) bool {
	return r.Kind == suspicion.Part && at.UnixNano() >= max(r.Since, r.ProbedAt)+int64(r.probePause())
}

// nearLimit returns whether r is a part that one more lost server quarantines.
func (r *record) nearLimit(limit int) bool {
	return r.Kind == suspicion.Part && len(r.Losses) >= max(2, limit-1)
}

// suspected returns whether entries are told of a part because one more lost server quarantines it.
func (r *record) suspected() bool {
	return r.Kind == suspicion.Part && r.Standing == suspicion.Suspect && r.Since != 0
}

// confirmed returns whether the attribute is a part whose quarantine nobody has refuted in time.
func (r *record) confirmed(at time.Time) bool {
	return r.Kind == suspicion.Part && r.Standing == suspicion.Quarantined && at.UnixNano() >= r.Since+int64(r.Delay)
}

// addLoss records a loss once. It returns whether that changed something. The oldest one makes room, unless the attribute is
// quarantined: other attributes may explain all that are recorded.
func (r *record) addLoss(l suspicion.Loss) bool {
	if i := slices.IndexFunc(r.Losses, l.Same); i >= 0 {
		known := &r.Losses[i]
		changed := known.Began && !l.Began
		known.Began = known.Began && l.Began
		return changed
	}
	if len(r.Losses) >= maxLosses {
		if r.Standing == suspicion.Quarantined {
			return false
		}
		r.Losses = slices.Delete(r.Losses, 0, 1)
	}
	r.Losses = append(r.Losses, l)
	return true
}

// overlaps returns whether a run that began at that time had already begun when a server was lost under the
// request. When several servers fail together, the losses after the first are no evidence against a request that
// many callers send.
func (r *record) overlaps(began time.Time) bool {
	return began.UnixNano() <= r.lastLoss()
}

// lastLoss returns when the last server was lost, in nanoseconds since 1970, zero if none was.
func (r *record) lastLoss() int64 {
	var at int64
	for _, l := range r.Losses {
		at = max(at, l.At)
	}
	return at
}

// compare orders records by their last losses. All replicas order equal ones alike.
func (r *record) compare(x *record) int {
	return cmp.Or(cmp.Compare(r.lastLoss(), x.lastLoss()), compare(r.Fingerprint, x.Fingerprint))
}

// expired returns whether a loss is older than the window.
func (r *record) expired(at time.Time) bool {
	oldest := at.Add(-r.Window).UnixNano()
	return slices.ContainsFunc(r.Losses, func(l suspicion.Loss) bool { return l.At <= oldest })
}

// released returns whether the attribute has been quarantined for as long as it is held.
func (r *record) released(at time.Time) bool {
	return r.Hold > 0 && at.UnixNano() >= r.lastLoss()+int64(r.Hold)
}

// period returns for how long the attribute is quarantined.
func (r *record) period() suspicion.Period {
	p := suspicion.Period{
		Version: r.Version, Quarantined: r.Standing == suspicion.Quarantined, Kind: r.Kind, With: slices.Clone(r.With),
	}
	p.Suspected = r.suspected()
	if r.Kind == suspicion.Part && p.Quarantined {
		p.ProbeAfter = max(time.Nanosecond, r.probePause()-time.Duration(r.ChangedAt-max(r.Since, r.ProbedAt)))
	}
	if r.Since != 0 {
		p.Delay = max(0, r.Delay-time.Duration(r.ChangedAt-r.Since))
	}
	if r.Kind == suspicion.Part && !r.Shared {
		p.Workspace = r.Workspace
	}
	if len(r.Losses) > 0 {
		p.FirstLoss = time.Unix(0, r.Losses[0].At).UnixMilli()
		p.Age = max(0, time.Duration(r.ChangedAt-r.Losses[0].At))
	}
	if r.Hold > 0 {
		p.Release = time.Unix(0, r.lastLoss()).Add(r.Hold).UnixMilli()
	}
	return p
}

// change returns the standing of the attribute for entries.
func (r *record) change() suspicion.Change {
	c := suspicion.Change{Fingerprint: r.Fingerprint, Standing: r.Standing}
	if r.Kind == suspicion.Part {
		p := r.period()
		c.Part = &p
	}
	return c
}

func (r *record) item() Item {
	i := Item{
		Fingerprint: r.Fingerprint.String(),
		Kind:        r.Kind,
		Workspace:   r.Workspace,
		Model:       r.Model,
		Standing:    r.Standing,
		Servers:     r.servers(),
	}
	if len(r.Losses) > 0 {
		i.Since = time.Unix(0, r.Losses[0].At).UTC()
	}
	return i
}

// servers returns the distinct servers that were lost.
func (r *record) servers() []string {
	var names []string
	for _, l := range r.Losses {
		if !slices.Contains(names, l.Server) {
			names = append(names, l.Server)
		}
	}
	return names
}

// slot is a suspect's lease on a server: the server runs no other suspect until it ends.
type slot struct {
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	Attempt     string                `cbor:"attempt"`
	Until       int64                 `cbor:"until"`
}

// removal records that a fingerprint became clear.
type removal struct {
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	Version     uint64                `cbor:"version"`
}
