package quarantine

import (
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	section "hornbeamwood/internal/control/quarantine"
	"hornbeamwood/internal/policy/suspicion"
)

const (
	// unreportedTime is how long a loss may wait to be reported before this entry goes by its own losses.
	unreportedTime = time.Second
	// ownInterval is the least time between two looks at the losses that wait to be reported.
	ownInterval = 100 * time.Millisecond
	// settleTime is for how long after its losses were reported an entry still goes by them, until rows tell more.
	settleTime = 2 * time.Second
	// ownRetry is how long callers are told not to send such a request again. The control log is mostly back by then.
	ownRetry = 30 * time.Second
)

// ownLosses are the attributes that this entry quarantines by its own losses while the control log takes no reports.
// The same section classifies them, which the control log applies its reports to.
type ownLosses struct {
	// register holds the quarantined attributes; nil for none.
	register *suspicion.Register
	// countedAt is when they were last determined, and until is when they are forgotten.
	countedAt, until time.Time
}

// match returns the attribute for which a request of the workspace is refused, and false if it may be sent.
func (o *ownLosses) match(workspace string, a suspicion.Attributes, now time.Time) (suspicion.Match, bool) {
	if o.register == nil {
		return suspicion.Match{}, false
	}
	return o.register.Match(workspace, a, now)
}

// countOwn determines what is quarantined by losses that have waited for too long to be reported. Without it, a request
// or a part that crashes servers would end all of them while the control log takes no reports.
func (g *guard) countOwn(now time.Time) {
	if len(g.lost) == 0 || now.Sub(g.lost[0].LostAt) < unreportedTime {
		if now.After(g.own.until) {
			g.own = ownLosses{}
		}
		return
	}
	if now.Sub(g.own.countedAt) < ownInterval {
		return
	}
	known := g.own.register
	g.own = ownLosses{register: suspicion.NewRegister(), countedAt: now, until: now.Add(settleTime)}
	for f, p := range g.ownPeriods(now) {
		if !p.Quarantined || g.register.Refutes(f, p, now) {
			continue
		}
		p.ProbeAfter, p.Release = 0, now.Add(ownRetry).UnixMilli()
		g.own.register.Apply(f, p, now)
		if known == nil || !known.Knows(f) {
			event.QuarantineChanged.Write(g.Logger, log.Fields{
				"fingerprint": f.String(), "kind": string(p.Kind), "quarantined": true, "own-losses": len(g.lost),
				"since-ms": now.UnixMilli() - p.FirstLoss, "only-workspace": p.Workspace, "companions": len(p.With),
			})
		}
	}
}

// ownPeriods returns the quarantine by the losses that wait to be reported.
func (g *guard) ownPeriods(now time.Time) map[suspicion.Fingerprint]suspicion.Period {
	var lost []Run
	for _, r := range g.lost {
		if now.Sub(r.LostAt) >= confirmAfter && !g.responsive(r, now) {
			lost = append(lost, r)
		}
	}
	losses := g.losses(lost, now)
	for i := range losses {
		// No other entry is told, so there is nobody whose answers to wait for.
		losses[i].Delay = 0
	}
	body, err := codec.Marshal(section.Command{Losses: losses})
	if err != nil || len(losses) == 0 {
		return nil
	}
	s := section.New(section.Config{})
	s.Apply(now, body)
	return s.Periods()
}
