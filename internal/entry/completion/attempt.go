package completion

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/entry/engine"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/policy/route"
)

const (
	// The timeout for the first token is firstTokenFactor times the expected time, at least minFirstTokenTimeout.
	// Without it, a suspended server would hold the request until the caller's deadline.
	firstTokenFactor     = 4
	minFirstTokenTimeout = 3 * time.Second
	// pinDuration is the longest time that an import may take.
	pinDuration = time.Minute
)

// attempt is one dispatch of a job to one engine.
type attempt struct {
	id              string
	server          *membership.Server
	decision        route.Decision
	request         route.Request
	view            view
	load            load
	sent            time.Time
	expected        time.Duration
	pins            []directory.Pin
	imports         []importPiece
	stream          engine.Stream
	cancel          context.CancelFunc
	firstTokenTimer *time.Timer
	released        bool
}

// start chooses a server, applies admission control and dispatches once. Where
// the servers are full, it first waits in the fair queue.
//
// It returns a nil attempt when nothing was dispatched.
func (r *router) start(ctx context.Context, j *job) (*attempt, error) {
	ev := r.evaluate(j)
	queueTime, wait := r.queues.estimate(j, &ev)
	if err := r.admit(j, &ev, queueTime); err != nil {
		return nil, err
	}
	if wait {
		sent, err := r.queues.wait(ctx, j, &ev, queueTime)
		if err != nil {
			return nil, err
		}
		defer sent()
		ev = r.evaluate(j)
		if err := r.admit(j, &ev, 0); err != nil {
			return nil, err
		}
	}
	a := &attempt{
		id:       r.NewAttempt(),
		server:   ev.view.servers[ev.decision.Server],
		decision: ev.decision,
		request:  ev.request,
		view:     ev.view,
		expected: ev.decision.TTFT,
	}
	j.attempts++
	r.logRouted(j, a)
	return a, r.dispatch(ctx, j, a)
}

// dispatch sends the attempt to its engine. Its error is always a verdict.Error.
func (r *router) dispatch(ctx context.Context, j *job, a *attempt) error {
	identity := a.server.Announcement().Identity
	imports := r.pinImports(ctx, j, a)
	body, err := withTransfer(j, imports)
	if err != nil {
		r.unpin(ctx, a.pins)
		return err
	}
	a.load = r.loadOf(j, a)
	a.imports = imports
	r.metrics.planned(a, imports)
	r.inFlight.add(a.load, 1)
	r.Work.Sent(r.Now(), a.server.Key(), a.load.tokens)
	r.recordLinkBytes(a, imports)
	r.Guard.Started(r.Now(), j.shared.Request, identity)
	a.sent = r.Now()
	running, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	a.firstTokenTimer = time.AfterFunc(r.firstTokenTimeout(j, a), cancel)
	if err = r.recheck(j, a); err == nil {
		a.stream, err = r.Engines.Run(running, a.server.Announcement().Address, engine.Request{
			ID:            j.ID,
			Attempt:       a.id,
			Workspace:     j.Workspace,
			Path:          j.Path,
			Body:          body,
			Priority:      j.Rules.Priority,
			WeightVersion: j.Model.WeightVersion,
		})
	}
	r.recordBackoff(a, err)
	if err == nil {
		return nil
	}
	err = classify(ctx, a, err)
	r.end(ctx, j, a, err)
	return err
}

// recheck checks the server's eligibility again right before the request is sent.
//
// Pinning, or a suspended process, can delay the dispatch after the server was
// chosen. Without this check, a server that has announced meanwhile that it is
// leaving would still get the request.
func (r *router) recheck(j *job, a *attempt) error {
	v := r.Servers.View()
	eligibility := v.Recheck(r.Now(), a.server, j.need())
	if eligibility == membership.Eligible {
		if err := r.Guard.Recheck(r.Now(), j.Workspace, j.shared, a.server.Announcement().Identity); err != nil {
			return err
		}
		return r.reserve(a)
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "server-left",
		"the chosen model engine takes no new work any more").WithCause(errors.New(string(eligibility)))
}

// reserve reserves the attempt at an engine that may have requested a backoff since it was chosen.
func (r *router) reserve(a *attempt) error {
	if _, ok := r.Backoffs.Reserve(a.server.Announcement().Identity, 0, r.Now()); ok {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "server-backoff", "the chosen model engine has requested a backoff").
		WithRetryAfter(r.Backoffs.Wait(a.server.Announcement().Identity, r.Now()))
}

// recordLinkBytes records the bytes that the imports add to the stores' links; other entries receive these counts.
func (r *router) recordLinkBytes(a *attempt, imports []importPiece) {
	for _, s := range a.view.stores {
		bytes := int64(0)
		for _, p := range imports {
			if p.store == s.Announcement().Identity {
				bytes += p.Bytes
			}
		}
		if bytes > 0 {
			r.Work.Sent(r.Now(), s.Key(), bytes)
		}
	}
}

// firstTokenTimeout returns how long to wait for the first token. While another
// server could answer, it is a multiple of the expected time; otherwise it
// extends to the caller's deadline.
//
// An engine that prefills a long prompt of another request sends nothing for
// seconds. Where it is the only one, abandoning the attempt would turn an answer
// that would have been in time into a failure with the verdict may-have-run.
func (r *router) firstTokenTimeout(j *job, a *attempt) time.Duration {
	if len(a.view.servers) < 2 {
		return max(j.remaining(r.Now()), minFirstTokenTimeout)
	}
	timeout := max(firstTokenFactor*a.decision.TTFT, minFirstTokenTimeout)
	return min(timeout, max(j.remaining(r.Now()), minFirstTokenTimeout))
}

// loadOf returns the load that the attempt adds to its server until its first token.
func (r *router) loadOf(j *job, a *attempt) load {
	l := load{
		server: a.server.Announcement().Identity,
		band:   route.Band(j.Rules.Priority),
		tokens: int64(a.request.Tail()),
	}
	for i, s := range a.decision.Plan {
		if s.Source == route.Recompute {
			l.tokens += int64(a.request.Pieces[i].Tokens)
		}
	}
	return l
}

// releaseInFlight removes the attempt from the work in flight and releases its pins.
// It reports whether this call removed it; further calls do nothing.
func (r *router) releaseInFlight(ctx context.Context, a *attempt) bool {
	if a.released {
		return false
	}
	a.released = true
	a.firstTokenTimer.Stop()
	r.inFlight.add(a.load, -1)
	r.unpin(ctx, a.pins)
	return true
}
