package quarantine

import (
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	section "hornbeamwood/internal/control/quarantine"
	"hornbeamwood/internal/policy/suspicion"
)

// countOwn determines what is quarantined by losses that have waited for too long to be reported. On a large site each
// report waits for a while.
func (g *guard) countOwn(now time.Time) {
	w := section.Waiting{Runs: len(g.lost), Losses: func() []section.Lost { return g.unreported(now) }}
	if w.Runs > 0 {
		w.Since = g.lost[0].LostAt.Add(g.reportDelay())
	}
	refutes := func(f suspicion.Fingerprint, p suspicion.Period) bool { return g.register.Refutes(f, p, now) }
	for f, p := range g.own.Update(w, refutes, now) {
		event.QuarantineChanged.Write(g.Logger, log.Fields{
			"fingerprint": f.String(), "kind": string(p.Kind), "quarantined": true, "own-losses": len(g.lost),
			"since-ms": now.UnixMilli() - p.FirstLoss, "only-workspace": p.Workspace, "companions": len(p.With),
		})
	}
}

// unreported returns the losses that wait to be reported and are confirmed.
func (g *guard) unreported(now time.Time) []section.Lost {
	var lost []Run
	for _, r := range g.lost {
		if now.Sub(r.LostAt) >= confirmAfter && !g.responsive(r, now) {
			lost = append(lost, r)
		}
	}
	return g.losses(lost, now)
}
