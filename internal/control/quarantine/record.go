package quarantine

import (
	"cmp"
	"slices"
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// record is one suspect or quarantined fingerprint.
type record struct {
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	Workspace   string                `cbor:"workspace"`
	Model       string                `cbor:"model"`
	Losses      []suspicion.Loss      `cbor:"losses"`
	Standing    suspicion.Standing    `cbor:"standing"`
	Window      time.Duration         `cbor:"window"`
	Hold        time.Duration         `cbor:"hold,omitempty"`
	Version     uint64                `cbor:"version"`
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

// before returns whether the last loss of r is older than that of x. All replicas order equal ones alike.
func (r *record) before(x *record) bool {
	return cmp.Or(cmp.Compare(r.lastLoss(), x.lastLoss()), compare(r.Fingerprint, x.Fingerprint)) < 0
}

// expired returns whether a loss is older than the window.
func (r *record) expired(at time.Time) bool {
	oldest := at.Add(-r.Window).UnixNano()
	return slices.ContainsFunc(r.Losses, func(l suspicion.Loss) bool { return l.At <= oldest })
}

// released returns whether the request has been quarantined for as long as it is held.
func (r *record) released(at time.Time) bool {
	return r.Hold > 0 && at.UnixNano() >= r.lastLoss()+int64(r.Hold)
}

// period returns for how long the request is quarantined.
func (r *record) period() Period {
	p := Period{Version: r.Version, Quarantined: r.Standing == suspicion.Quarantined}
	if len(r.Losses) > 0 {
		p.FirstLoss = time.Unix(0, r.Losses[0].At).UnixMilli()
	}
	if r.Hold > 0 {
		p.Release = time.Unix(0, r.lastLoss()).Add(r.Hold).UnixMilli()
	}
	return p
}

func (r *record) item() Item {
	i := Item{
		Fingerprint: r.Fingerprint.String(),
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
