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
	// silenceFactor and silenceFloor bound the wait for a first token by what was expected; a frozen
	// server would otherwise hold the request until the caller's deadline.
	silenceFactor = 4
	silenceFloor  = 3 * time.Second
	// pinTime is how long an import may take at most.
	pinTime = time.Minute
)

// attempt is one dispatch to one engine.
type attempt struct {
	id       string
	server   *membership.Server
	decision route.Decision
	request  route.Request
	view     view
	load     load
	sent     time.Time
	expected time.Duration
	pins     []directory.Pin
	imports  []importPiece
	stream   engine.Stream
	cancel   context.CancelFunc
	silence  *time.Timer
	first    bool
}

// start decides, admits, waits for the workspace's turn where servers are full, and dispatches once.
//
// It returns a nil attempt when nothing was dispatched.
func (r *router) start(ctx context.Context, j *job) (*attempt, error) {
	c := r.consider(j)
	queueing, wait := r.lines.queueing(j, &c)
	if err := r.admit(j, &c, queueing); err != nil {
		return nil, err
	}
	if wait {
		sent, err := r.lines.wait(ctx, j, &c, queueing)
		if err != nil {
			return nil, err
		}
		defer sent()
		c = r.consider(j)
		if err := r.admit(j, &c, 0); err != nil {
			return nil, err
		}
	}
	a := &attempt{
		id:       r.NewAttempt(),
		server:   c.view.servers[c.decision.Server],
		decision: c.decision,
		request:  c.request,
		view:     c.view,
		expected: c.decision.TTFT,
	}
	j.attempts++
	r.logRouted(j, a)
	return a, r.dispatch(ctx, j, a)
}

// dispatch sends the attempt to its engine. It fails only with a verdict.Error.
func (r *router) dispatch(ctx context.Context, j *job, a *attempt) error {
	identity := a.server.Announcement().Identity
	imports := r.imports(ctx, j, a)
	body, err := withTransfer(j, imports)
	if err != nil {
		r.unpin(ctx, a.pins)
		return err
	}
	a.load = r.loadOf(j, a)
	a.imports = imports
	r.meters.planned(a, imports)
	r.inFlight.add(a.load, 1)
	r.Work.Sent(r.Now(), a.server.Key(), a.load.tokens)
	r.sentOnLinks(a, imports)
	r.Guard.Started(r.Now(), j.fingerprint, identity)
	a.sent = r.Now()
	running, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	a.silence = time.AfterFunc(r.patience(j, a), cancel)
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
	if err == nil {
		return nil
	}
	err = classify(ctx, a, err)
	r.end(ctx, j, a, err)
	return err
}

// recheck asks again whether the server may get the request, right before it is sent.
//
// Between the choice and the first byte lie pins and perhaps a frozen process;
// a server that has said meanwhile that it leaves would get work too late.
func (r *router) recheck(j *job, a *attempt) error {
	v := r.Servers.View()
	why := v.Recheck(r.Now(), a.server, j.need())
	if why == membership.Eligible {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "server-left",
		"the chosen model engine takes no new work any more").WithCause(errors.New(string(why)))
}

// sentOnLinks tells the other entries of the bytes that the imports bring onto the stores' links.
func (r *router) sentOnLinks(a *attempt, imports []importPiece) {
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

// patience returns how long the first token is waited for: while another server
// could answer, a few times what was expected, otherwise until the deadline.
//
// An engine that computes a long prompt of another request says nothing for
// seconds. Where there is no other, giving it up turns an answer that would have
// been in time into a failure that leaves open whether the request has run.
func (r *router) patience(j *job, a *attempt) time.Duration {
	if len(a.view.servers) < 2 {
		return max(j.remaining(r.Now()), silenceFloor)
	}
	p := max(silenceFactor*a.decision.TTFT, silenceFloor)
	return min(p, max(j.remaining(r.Now()), silenceFloor))
}

// loadOf returns what the attempt adds to its server until its first token.
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

// begun takes the attempt out of the work in flight, once, and returns whether it was in.
func (r *router) begun(ctx context.Context, a *attempt) bool {
	if a.first {
		return false
	}
	a.first = true
	a.silence.Stop()
	r.inFlight.add(a.load, -1)
	r.unpin(ctx, a.pins)
	return true
}
