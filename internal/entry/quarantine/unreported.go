package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	section "hornbeamwood/internal/control/quarantine"
	"hornbeamwood/internal/policy/suspicion"
)

// maxUnreported bounds the losses that wait to be reported.
const maxUnreported = 1024

// unreportedLoss is a loss whose report failed.
type unreportedLoss struct {
	lost section.Lost
	at   time.Time
}

// reportedAt returns the loss as it is to be reported at that time.
func (u unreportedLoss) reportedAt(now time.Time) section.Lost {
	waited := max(0, now.Sub(u.at))
	lost := u.lost
	lost.Ago = waited
	lost.Running = slices.Clone(u.lost.Running)
	for i := range lost.Running {
		r := &lost.Running[i]
		if r.Age > 0 {
			r.Age += waited
		}
		if r.RunAge > 0 {
			r.RunAge += waited
		}
	}
	return lost
}

// keepUnreported keeps a loss until it is reported. There are more than it keeps only if servers that many requests run
// on are lost again and again.
func (g *guard) keepUnreported(lost section.Lost, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.unreported) < maxUnreported {
		g.unreported = append(g.unreported, unreportedLoss{lost: lost, at: now})
	}
}

// unreportedLosses returns the losses that wait, as they are to be reported at that time. The caller holds the lock.
func (g *guard) unreportedLosses(now time.Time) []section.Lost {
	losses := make([]section.Lost, len(g.unreported))
	for i, u := range g.unreported {
		losses[i] = u.reportedAt(now)
	}
	return losses
}

// repeatReports reports the losses that wait. The record counts one that was committed without an answer once.
func (g *guard) repeatReports(ctx context.Context) {
	g.mu.Lock()
	if g.repeating || len(g.unreported) == 0 {
		g.mu.Unlock()
		return
	}
	g.repeating = true
	losses := g.unreportedLosses(time.Now())
	g.mu.Unlock()
	_, err := g.propose(ctx, section.Command{Losses: losses})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.repeating = false
	if err == nil {
		g.unreported = g.unreported[len(losses):]
	}
}

// match returns the attribute for which a request is refused, by the record or by losses that the record hasn't taken. The
// caller holds the lock.
func (g *guard) match(workspace string, a suspicion.Attributes, now time.Time) (suspicion.Match, bool) {
	g.countOwn(now)
	if m, refused := g.parts.Match(workspace, a, now); refused {
		return m, true
	}
	return g.own.Match(workspace, a, now)
}

// countOwn determines what is quarantined by losses that have waited for too long to be reported.
func (g *guard) countOwn(now time.Time) {
	w := section.Waiting{Runs: len(g.unreported), Losses: func() []section.Lost { return g.unreportedLosses(now) }}
	if w.Runs > 0 {
		w.Since = g.unreported[0].at
	}
	refutes := func(f suspicion.Fingerprint, p suspicion.Period) bool { return g.parts.Refutes(f, p, now) }
	for f, p := range g.own.Update(w, refutes, now) {
		event.QuarantineChanged.Write(g.Logger, log.Fields{
			"fingerprint": f.String(), "kind": string(p.Kind), "quarantined": true, "own-losses": len(g.unreported),
			"only-workspace": p.Workspace, "companions": len(p.With),
		})
	}
}
