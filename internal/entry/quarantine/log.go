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

// follow looks at the record at each interval until ctx ends.
func (g *guard) follow(ctx context.Context) {
	t := time.NewTicker(g.Interval)
	defer t.Stop()
	for {
		g.look(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// look takes in what is newer than the view. When the log doesn't answer the
// view stays as it is: forgetting it would let the next crash happen.
func (g *guard) look(ctx context.Context) {
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

// probe asks for the suspect's slot. Without the log's word a suspect isn't
// run: two entries that probe it at once would lose two servers for one test.
func (g *guard) probe(f completion.Fingerprint, attempt string) error {
	r, err := g.propose(context.Background(), section.Command{Begin: &section.Begin{
		Fingerprint: suspicion.Fingerprint(f), Server: slotOf(f), Attempt: attempt, Lease: g.Lease,
	}})
	if err == nil && r.Granted {
		return nil
	}
	g.mu.Lock()
	g.book.drop(f, attempt)
	g.mu.Unlock()
	if err == nil && r.Standing == suspicion.Quarantined {
		g.look(context.Background())
		return g.refuse(f, g.retry(f))
	}
	return busy(r.RetryAfter, err)
}

func (g *guard) retry(f completion.Fingerprint) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.view.Decide(suspicion.Fingerprint(f)).RetryAfter, time.Second)
}

// slotOf returns the name of a suspect's own slot; which server runs it is
// chosen later, and this entry keeps other work away from that server.
func slotOf(f completion.Fingerprint) string {
	return "request/" + suspicion.Fingerprint(f).String()
}

func busy(after time.Duration, cause error) error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "request-suspect",
		"a server was lost while it ran this request; it is run one at a time until it is cleared").
		WithRetryAfter(max(after, time.Second)).WithCause(cause)
}

// report tells the fleet of a lost server.
func (g *guard) report(ctx context.Context, server string, who section.Running) {
	l := g.limits()
	r, err := g.propose(ctx, section.Command{Lost: &section.Lost{
		Server: server, Incarnation: g.Incarnation(server), Running: []section.Running{who},
		Servers: l.Servers, Window: l.Window,
	}})
	f := log.Fields{"server": server, "workspace": who.Workspace, "fingerprint": who.Fingerprint.String()}
	if err != nil {
		f["cause"] = err.Error()
	}
	event.ServerLostUnder.Write(g.Logger, f)
	if err == nil && len(r.Changes) > 0 {
		g.look(ctx)
	}
}

// finish gives a suspect's slot back and takes in what the log says of it; a
// suspect that only this entry knew of, because its report failed, is cleared here.
func (g *guard) finish(ctx context.Context, f completion.Fingerprint, attempt string, whole bool) {
	r, err := g.propose(ctx, section.Command{Finish: &section.Finish{
		Fingerprint: suspicion.Fingerprint(f), Attempt: attempt, Whole: whole,
	}})
	if err != nil {
		return
	}
	g.mu.Lock()
	now := suspicion.Change{Fingerprint: suspicion.Fingerprint(f), Standing: r.Standing}
	g.view = g.view.With(g.view.Version(), []suspicion.Change{now}, false)
	g.mu.Unlock()
	g.look(ctx)
}
