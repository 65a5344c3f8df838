package completion

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/entry/engine"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/policy/admission"
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
	pins     []directory.Pin
	stream   engine.Stream
	cancel   context.CancelFunc
	silence  *time.Timer
	first    bool
}

// start decides, admits and dispatches once.
func (r *router) start(ctx context.Context, j *job) (*attempt, error) {
	now := r.Now()
	v := r.view(now, j)
	q := j.request(&v)
	d := r.Strategy.Decide(now, &q, &v.cell, r.Random)
	in := admission.Input{
		Server:   d.Server != route.None,
		TTFT:     d.TTFT,
		Deadline: j.Rules.Deadline,
		Waited:   now.Sub(j.Received),
		Priority: j.Rules.Priority,
	}
	verdict := r.Admission.Decide(in, r.Random)
	if err := verdict.Err(); err != nil {
		r.logRefused(j, d, verdict)
		return nil, err
	}
	a := &attempt{
		id:       r.NewAttempt(),
		server:   v.servers[d.Server],
		decision: d,
		request:  q,
		view:     v,
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
		return err
	}
	a.load = r.loadOf(j, a, imports)
	r.meters.planned(a, imports)
	r.inFlight.add(a.load, 1)
	r.Work.Sent(r.Now(), a.server.Key(), a.load.tokens)
	r.Guard.Started(r.Now(), j.fingerprint, identity)
	a.sent = r.Now()
	ctx, a.cancel = context.WithCancel(ctx)
	a.silence = time.AfterFunc(r.patience(j, a), a.cancel)
	a.stream, err = r.Engines.Run(ctx, a.server.Announcement().Address, engine.Request{
		ID:            j.ID,
		Attempt:       a.id,
		Workspace:     j.Workspace,
		Path:          j.Path,
		Body:          body,
		Priority:      j.Rules.Priority,
		WeightVersion: j.Model.WeightVersion,
	})
	if err != nil {
		r.end(ctx, j, a, err)
	}
	return err
}

// patience returns how long the first token is waited for.
func (r *router) patience(j *job, a *attempt) time.Duration {
	p := max(silenceFactor*a.decision.TTFT, silenceFloor)
	return min(p, max(j.remaining(r.Now()), silenceFloor))
}

// loadOf returns what the attempt adds to its server and to the links until its first token.
func (r *router) loadOf(j *job, a *attempt, imports []importPiece) load {
	l := load{
		server: a.server.Announcement().Identity,
		band:   route.Band(j.Rules.Priority),
		tokens: int64(a.request.Tail()),
		links:  make(map[string]int64),
	}
	for i, s := range a.decision.Plan {
		if s.Source == route.Recompute {
			l.tokens += int64(a.request.Pieces[i].Tokens)
		}
	}
	for _, p := range imports {
		l.links[p.store] += p.Bytes
	}
	return l
}

// begun takes the attempt out of the work in flight, once, and tells admission how good its estimate was.
func (r *router) begun(ctx context.Context, j *job, a *attempt) {
	if a.first {
		return
	}
	a.first = true
	a.silence.Stop()
	r.Admission.Observe(j.Rules.Priority, a.decision.TTFT, r.Now().Sub(a.sent))
	r.inFlight.add(a.load, -1)
	r.unpin(ctx, a.pins)
}

// unpin takes pins back beside the request, which has its first token by now.
func (r *router) unpin(ctx context.Context, pins []directory.Pin) {
	ctx = context.WithoutCancel(ctx)
	for _, p := range pins {
		r.running.Go(func() { r.Cache.Unpin(ctx, p) })
	}
}

// end notes how the attempt ended; io.EOF stands for a whole answer.
func (r *router) end(ctx context.Context, j *job, a *attempt, cause error) {
	ctx = context.WithoutCancel(ctx)
	r.begun(ctx, j, a)
	identity := a.server.Announcement().Identity
	lost := lostServer(cause)
	if lost || unreachable(cause) {
		r.losses.add(r.Now(), identity)
	}
	r.Guard.Ended(ctx, r.Now(), j.fingerprint, identity, lost)
	if errors.Is(cause, io.EOF) {
		r.exporter.begin(r, j, a)
	}
	if a.stream != nil {
		a.stream.Close()
	}
	a.cancel()
}

// lostServer says whether the attempt's end looks like the loss of its server and not like a refusal.
func lostServer(cause error) bool {
	e, ok := verdict.As(cause)
	return ok && e.Verdict == verdict.MayHaveRun && e.Code != codeCancelled && e.Code != codeSilent
}

// unreachable says whether no connection to the server could be made.
func unreachable(cause error) bool {
	e, ok := verdict.As(cause)
	return ok && e.Code == codeUnreachable
}

// imports pins the pieces that the plan imports, all at once; from the first
// one on that can't be pinned the prompt is computed instead.
func (r *router) imports(ctx context.Context, j *job, a *attempt) []importPiece {
	wanted := r.wanted(j, a)
	granted := make([]bool, len(wanted))
	var asked sync.WaitGroup
	for i, p := range wanted {
		asked.Go(func() { granted[i] = r.Cache.Pin(ctx, p.pin(a)) })
	}
	asked.Wait()
	use := len(wanted)
	for i, ok := range granted {
		if !ok {
			use = min(use, i)
			continue
		}
		a.pins = append(a.pins, wanted[i].pin(a))
	}
	return wanted[:use]
}

// wanted returns the pieces that the plan imports.
func (r *router) wanted(j *job, a *attempt) []importPiece {
	var all []importPiece
	for i, s := range a.decision.Plan {
		if s.Source != route.Import {
			continue
		}
		store := a.view.stores[s.Copy.Store].Announcement()
		at := slices.IndexFunc(j.locations[i].Stores, func(c directory.Stored) bool { return c.Store == store.Identity })
		if at < 0 {
			break
		}
		c := j.locations[i].Stores[at]
		all = append(all, importPiece{
			Key:        j.keys[i],
			Store:      store.Address,
			Generation: c.Generation,
			Bytes:      c.Bytes,
			store:      c.Store,
		})
	}
	return all
}

// pin returns the pin that keeps the piece while the attempt reads it.
func (p importPiece) pin(a *attempt) directory.Pin {
	return directory.Pin{
		Store:          p.store,
		Key:            p.Key,
		Generation:     p.Generation,
		Reader:         reader(a.id),
		DeadlineMillis: pinTime.Milliseconds(),
	}
}

// reader returns the number that names an attempt among the readers of a piece.
func reader(attempt string) uint64 {
	var b [8]byte
	copy(b[:], attempt)
	return binary.BigEndian.Uint64(b[:])
}
