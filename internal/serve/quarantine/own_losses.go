package quarantine

import (
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/policy/suspicion"
)

// countOwn determines what is quarantined by losses that have waited for too long to be reported.
func (g *guard) countOwn(now time.Time) {
	oldest := time.Time{}
	if len(g.lost) > 0 {
		oldest = g.lost[0].LostAt
	}
	if !g.own.Due(oldest, now) {
		return
	}
	var lost []Run
	for _, r := range g.lost {
		if now.Sub(r.LostAt) >= confirmAfter && !g.responsive(r, now) {
			lost = append(lost, r)
		}
	}
	refutes := func(f suspicion.Fingerprint, p suspicion.Period) bool { return g.register.Refutes(f, p, now) }
	for f, p := range g.own.Count(g.losses(lost, now), refutes, now) {
		event.QuarantineChanged.Write(g.Logger, log.Fields{
			"fingerprint": f.String(), "kind": string(p.Kind), "quarantined": true, "own-losses": len(lost),
			"since-ms": now.UnixMilli() - p.FirstLoss, "only-workspace": p.Workspace, "companions": len(p.With),
		})
	}
}
