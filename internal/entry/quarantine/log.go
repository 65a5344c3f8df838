package quarantine

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/base/wait"
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
		case <-g.wake:
			// The loss that another entry tells of is committed a moment later.
			wait.For(ctx, commitTime)
		}
	}
}

// commitTime is how long after another entry has told of a lost server its report is in the record.
const commitTime = 100 * time.Millisecond

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
	g.apply(known, c)
	g.repeatReports(ctx)
	g.refute(ctx)
	g.askForProbe(ctx)
}

// askForProbe asks the record to let one request with a quarantined part through, if it is time for that.
func (g *guard) askForProbe(ctx context.Context) {
	g.mu.Lock()
	f, ok := g.parts.Wanted()
	g.mu.Unlock()
	if !ok {
		return
	}
	r, err := g.propose(ctx, section.Command{Begin: &section.Begin{Fingerprint: f}})
	if err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.parts.Asked(f, r.Granted, time.Now())
}

// apply applies the changes after the known version.
func (g *guard) apply(known uint64, c section.Changes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.Version() != known {
		return
	}
	g.view = g.view.With(c.Version, c.Changes, c.Whole)
	listed := map[suspicion.Fingerprint]bool{}
	for _, x := range c.Changes {
		p := suspicion.Period{Version: c.Version}
		if x.Part != nil {
			p = *x.Part
			listed[x.Fingerprint] = true
		}
		if x.Part != nil || g.parts.Knows(x.Fingerprint) {
			g.applyPart(x.Fingerprint, p)
		}
	}
	if c.Whole {
		for _, f := range g.parts.Missing(listed) {
			g.applyPart(f, suspicion.Period{Version: c.Version})
		}
	}
}

func (g *guard) applyPart(f suspicion.Fingerprint, p suspicion.Period) {
	news, refuted := g.parts.Apply(f, p, time.Now())
	if news {
		event.QuarantineChanged.Write(g.Logger, log.Fields{
			"fingerprint": f.String(), "kind": string(suspicion.Part), "quarantined": p.Quarantined, "version": p.Version, "refuted": refuted,
			"only-workspace": p.Workspace, "companions": len(p.With), "delay-ms": p.Delay.Milliseconds(),
		})
	}
}

// refute reports the parts whose quarantine this entry's answers refute.
func (g *guard) refute(ctx context.Context) {
	g.mu.Lock()
	refuted := g.parts.Refuted()
	g.mu.Unlock()
	if len(refuted) == 0 {
		return
	}
	if _, err := g.propose(ctx, section.Command{Answered: &section.Answered{Fingerprints: refuted}}); err != nil {
		// They stay refuted, and the next refresh reports them.
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.parts.DropRefuted(refuted)
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

// acquireServer requests the server's slot for a suspect that holds its own one.
func (g *guard) acquireServer(f completion.Fingerprint, attempt, server string) error {
	r, err := g.propose(context.Background(), section.Command{Begin: &section.Begin{
		Fingerprint: f, Server: server, Attempt: attempt, Lease: g.Lease,
	}})
	if err == nil && r.Granted {
		return nil
	}
	return suspectRefusal(r.RetryAfter, err)
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
func (g *guard) reportLoss(ctx context.Context, now time.Time, server string, owner section.Running) {
	l := g.limits()
	lost := section.Lost{
		Server: server, Incarnation: g.Incarnation(server), Running: []section.Running{owner},
		Servers: l.Servers, PartServers: suspicion.DefaultPartServers, Window: l.Window, Delay: objectionTime,
	}
	r, err := g.propose(ctx, section.Command{Lost: &lost})
	if err != nil {
		g.keepUnreported(lost, now)
	}
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
