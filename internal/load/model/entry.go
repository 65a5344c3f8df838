package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/policy/admission"
	"hornbeamwood/internal/policy/fairness"
	"hornbeamwood/internal/policy/placement"
	"hornbeamwood/internal/policy/retry"
	"hornbeamwood/internal/policy/route"
)

// entry is the fake of an entry: its own late view and the decisions under test.
type entry struct {
	index     int
	run       *run
	random    *rand.Rand
	strategy  route.Strategy
	admission admission.Policy
	retries   retry.Policy
	returns   placement.Returns
	servers   []serverView
	stores    []storeView
	own       map[*record]bool
	peers     []message // the last of each peer
	carried   map[*request]bool
	lines     [route.Bands]line
	dead      bool
}

func newEntry(index int, r *run) *entry {
	e := &entry{
		index: index, run: r,
		random:    rand.New(rand.NewPCG(r.config.Seed, uint64(index)+100)),
		strategy:  r.config.Contender.Strategy(),
		admission: admission.New(admission.Config{}),
		retries:   retry.New(retry.Config{}),
		returns:   placement.NewReturns(0.5),
		servers:   make([]serverView, len(r.engines)),
		stores:    make([]storeView, len(r.stores)),
		own:       map[*record]bool{},
		peers:     make([]message, r.config.Deployment.Entries),
		carried:   map[*request]bool{},
	}
	for b := range e.lines {
		e.lines[b].waiting = fairness.New[*request](fairness.Config{})
	}
	for i, g := range r.engines {
		e.servers[i].load = g.report()
	}
	return e
}

// arrive takes a request from its caller.
func (e *entry) arrive(q *request) {
	q.entry = e
	e.retries.First(q.arrival.Workspace, retryShare, retryShare)
	if q.arrival.Document != 0 {
		e.returns.Seen(q.arrival.Workspace, q.arrival.Visit)
	}
	e.attempt(q)
}

// retryShare is the part of a workspace's requests, and of all, that may be repeated.
const retryShare = 0.1

// attempt decides and sends.
func (e *entry) attempt(q *request) {
	if q.outcome != open {
		return
	}
	if e.dead {
		e.run.deliver(q)
		return
	}
	q.attempt++
	ask, cell, servers := e.question(q)
	d := e.strategy.Decide(e.run.clock.time(), ask, cell, e.random)
	queueing := e.queueing(q, &d)
	q.expected, q.sent = d.TTFT+queueing, e.run.clock.now
	if !e.admitted(q, &d, queueing) {
		q.outcome = refused
		return
	}
	if e.mustWait(q, &d) {
		e.wait(q, &d)
		return
	}
	q.server = servers[d.Server]
	e.send(q, ask, d)
}

// admitted asks admission where the contender has it; a request without any server is refused by all.
func (e *entry) admitted(q *request, d *route.Decision, queueing time.Duration) bool {
	if d.Server == route.None {
		return false
	}
	if !e.run.config.Contender.Admission {
		return true
	}
	return e.admission.Decide(admission.Input{
		Server:   true,
		Priority: q.arrival.Rules.Priority,
		TTFT:     d.TTFT + queueing,
		Deadline: q.arrival.Rules.Deadline,
		Worth:    e.worth(q),
		Compute:  compute(d),
		Waited:   e.run.clock.now - q.arrival.At,
	}, e.random).Admit
}

// worth returns the request's worth where admission compares it.
func (e *entry) worth(q *request) float64 {
	if e.run.config.Contender.Worthless {
		return 0
	}
	return q.arrival.Rules.Worth
}

// compute returns the time that the chosen server would compute.
func compute(d *route.Decision) time.Duration {
	chosen, _ := d.Chosen()
	return span(chosen.Compute)
}

func (e *entry) send(q *request, ask *route.Request, d route.Decision) {
	q.record = e.recordOf(q, ask, d)
	e.own[q.record] = true
	e.carried[q] = true
	q.job = e.run.jobOf(q, d)
	job, server := q.job, e.run.engines[q.server]
	job.firstToken = func() { e.run.backTo(e, func() { e.firstToken(q, job) }) }
	job.finished = func() { e.run.backTo(e, func() { e.finished(q, job) }) }
	job.failed = func() { e.run.backTo(e, func() { e.failed(q, job) }) }
	e.run.clock.after(e.run.config.Deployment.ZoneDelay, func() { server.submit(job) })
}

// recordOf returns the work that peers hear of.
func (e *entry) recordOf(q *request, ask *route.Request, d route.Decision) *record {
	r := &record{server: q.server, band: route.Band(q.arrival.Rules.Priority), sent: e.run.clock.now}
	r.tokens = int64(ask.Tail())
	for i, s := range d.Plan {
		if s.Source == route.Recompute {
			r.tokens += int64(ask.Pieces[i].Tokens)
		}
		if s.Source != route.Import {
			continue
		}
		if r.link == nil {
			r.link, r.disk = make([]int64, len(e.stores)), make([]int64, len(e.stores))
		}
		r.link[s.Copy.Store] += ask.Pieces[i].Bytes
		if s.Copy.Tier == route.Disk {
			r.disk[s.Copy.Store] += ask.Pieces[i].Bytes
		}
	}
	return r
}

func (e *entry) firstToken(q *request, j *job) {
	delete(e.own, q.record)
	if q.outcome != open || q.job != j {
		return
	}
	d := e.run.config.Deployment
	q.outcome = answered
	q.ttft = e.run.clock.now + d.ClientDelay - q.arrival.At
	e.admission.Observe(q.arrival.Rules.Priority, q.expected, e.run.clock.now-q.sent)
	e.run.count(q, j)
	e.export(q)
}

func (e *entry) finished(q *request, j *job) {
	if q.job == j {
		delete(e.carried, q)
	}
}

// failed asks for another attempt elsewhere.
func (e *entry) failed(q *request, j *job) {
	delete(e.own, q.record)
	delete(e.carried, q)
	e.suspect(q.server)
	if q.job != j || q.outcome == late {
		return
	}
	remaining := q.arrival.At + q.arrival.Rules.Deadline - e.run.clock.now
	d := e.retries.Decide(retry.Failure{
		Workspace:  q.arrival.Workspace,
		Verdict:    verdict.MayHaveRun,
		Idempotent: !q.arrival.Rules.NonIdempotent,
		Answered:   q.outcome == answered,
		Attempt:    q.attempt,
		Remaining:  remaining,
		Servers:    len(e.servers) - 1,
	}, e.random)
	if !d.Retry {
		q.outcome = lost
		return
	}
	e.run.clock.after(d.Wait, func() { e.attempt(q) })
}

// suspect marks a server whose connection broke.
func (e *entry) suspect(server int) {
	e.servers[server].suspect = true
	e.servers[server].suspected = e.run.clock.now
}

// giveUp ends a request whose caller has gone at the deadline.
func (e *entry) giveUp(q *request) {
	delete(e.own, q.record)
	delete(e.carried, q)
	e.admission.Observe(q.arrival.Rules.Priority, q.expected, e.run.clock.now-q.sent)
	if q.job != nil {
		e.run.engines[q.server].cancel(q.job)
	}
}

// die loses the entry with all that it carries; callers come again through another one.
func (e *entry) die() {
	e.dead = true
	carried := make([]*request, 0, len(e.carried))
	for q := range e.carried {
		carried = append(carried, q)
	}
	slices.SortFunc(carried, func(a, b *request) int { return a.arrival.Number - b.arrival.Number })
	clear(e.carried)
	clear(e.own)
	e.abandon()
	for _, q := range carried {
		e.run.engines[q.server].cancel(q.job)
		e.resend(q)
	}
}

// comeBack is how long a caller waits before it sends again after its connection broke.
const comeBack = time.Second

func (e *entry) resend(q *request) {
	q.job = nil
	if q.outcome == answered || q.arrival.Rules.NonIdempotent {
		q.outcome = lost
		return
	}
	e.run.clock.after(comeBack, func() { e.run.deliver(q) })
}
