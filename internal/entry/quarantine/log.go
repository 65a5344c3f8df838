package quarantine

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	section "hornbeamwood/internal/control/quarantine"
	"hornbeamwood/internal/entry/completion"
	"hornbeamwood/internal/policy/suspicion"
)

// poll refreshes the view of the record at each interval until ctx ends.
func (g *guard) poll(ctx context.Context) {
	t := time.NewTicker(g.Interval)
	defer t.Stop()
	for {
		g.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// refresh applies changes newer than the view. When the log doesn't answer, the
// view is kept: without it the next crash would not be prevented.
func (g *guard) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	g.mu.Lock()
	known := g.view.Version()
	g.mu.Unlock()
	q, err := codec.Marshal(section.Query{Since: &section.Since{Version: known}})
	if err != nil {
		return
	}
	b, err := g.Log.Read(ctx, section.Name, q)
	if err != nil {
		return
	}
	c, err := codec.Unmarshal[section.Changes](b)
	if err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.Version() == known {
		g.view = g.view.With(c.Version, c.Changes, c.Whole)
	}
}

func (g *guard) propose(ctx context.Context, c section.Command) (section.Result, error) {
	b, err := codec.Marshal(c)
	if err != nil {
		return section.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	b, err = g.Log.Propose(ctx, section.Name, b)
	if err != nil {
		return section.Result{}, err
	}
	return codec.Unmarshal[section.Result](b)
}

// acquireSlot requests the suspect's slot from the log. A suspect does not run without
// it: two entries that ran the suspect concurrently would lose two servers for one probe.
func (g *guard) acquireSlot(f completion.Fingerprint, attempt string) error {
	r, err := g.propose(context.Background(), section.Command{Begin: &section.Begin{
		Fingerprint: f, Server: slotName(f), Attempt: attempt, Lease: g.Lease,
	}})
	if err == nil && r.Granted {
		return nil
	}
	g.mu.Lock()
	g.local.unclaimSlot(f, attempt)
	g.mu.Unlock()
	if err == nil && r.Standing == suspicion.Quarantined {
		g.refresh(context.Background())
		return g.quarantineRefusal(f, g.retryAfter(f))
	}
	return suspectRefusal(r.RetryAfter, err)
}

func (g *guard) retryAfter(f completion.Fingerprint) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.view.Decide(f).RetryAfter, time.Second)
}

// slotName returns the name of a suspect's own slot. The server is chosen later,
// and this entry sends no other work to that server.
func slotName(f completion.Fingerprint) string {
	return "request/" + f.String()
}

func suspectRefusal(after time.Duration, cause error) error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "request-suspect",
		"a server was lost while it ran this request; it is run one at a time until it is cleared").
		WithRetryAfter(max(after, time.Second)).WithCause(cause)
}

// reportLoss reports a lost server to the quarantine record.
func (g *guard) reportLoss(ctx context.Context, server string, owner section.Running) {
	l := g.limits()
	r, err := g.propose(ctx, section.Command{Lost: &section.Lost{
		Server: server, Incarnation: g.Incarnation(server), Running: []section.Running{owner},
		Servers: l.Servers, Window: l.Window,
	}})
	f := log.Fields{"server": server, "workspace": owner.Workspace, "fingerprint": owner.Fingerprint.String()}
	if err != nil {
		f["cause"] = err.Error()
	}
	event.ServerLostUnder.Write(g.Logger, f)
	if err == nil && len(r.Changes) > 0 {
		g.refresh(ctx)
	}
}

// releaseSlot releases a suspect's slot and applies the standing that the log returns. This
// also clears a suspect that only this entry knows of, because its loss report failed.
func (g *guard) releaseSlot(ctx context.Context, f completion.Fingerprint, attempt string, whole bool) {
	r, err := g.propose(ctx, section.Command{Finish: &section.Finish{
		Fingerprint: f, Attempt: attempt, Whole: whole,
	}})
	if err != nil {
		return
	}
	g.mu.Lock()
	now := suspicion.Change{Fingerprint: f, Standing: r.Standing}
	g.view = g.view.With(g.view.Version(), []suspicion.Change{now}, false)
	g.mu.Unlock()
	g.refresh(ctx)
}
