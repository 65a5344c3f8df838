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

// entry simulates an entry: its own delayed view and the decisions under test.
type entry struct {
	index      int
	run        *run
	random     *rand.Rand
	strategy   route.Strategy
	admission  admission.Policy
	retries    retry.Policy
	reuse      placement.ReuseEstimator
	servers    []serverView
	stores     []storeView
	own        map[*record]bool
	peers      []workMessage // the last message of each peer
	active     map[*request]bool
	waitQueues [route.Bands]waitQueue
	down       bool
}

func newEntry(index int, r *run) *entry {
	e := &entry{
		index: index, run: r,
		random:    rand.New(rand.NewPCG(r.config.Seed, uint64(index)+100)),
		strategy:  r.config.Variant.Strategy(),
		admission: admission.New(admission.Config{}),
		retries:   retry.New(retry.Config{}),
		reuse:     placement.NewReuseEstimator(0.5),
		servers:   make([]serverView, len(r.engines)),
		stores:    make([]storeView, len(r.stores)),
		own:       map[*record]bool{},
		peers:     make([]workMessage, r.config.Deployment.Entries),
		active:    map[*request]bool{},
	}
	for b := range e.waitQueues {
		e.waitQueues[b].waiting = fairness.New[*request](fairness.Config{})
	}
	for i, g := range r.engines {
		e.servers[i].load = g.report()
	}
	return e
}

// arrive accepts a request from its caller.
func (e *entry) arrive(q *request) {
	q.entry = e
	e.retries.CountFirstAttempt(q.arrival.Workspace, retryShare, retryShare)
	if q.arrival.Document != 0 {
		e.reuse.Seen(q.arrival.Workspace, q.arrival.Visit)
	}
	e.attempt(q)
}

// retryShare is the fraction of the requests of a workspace, and of all requests, that may be
// retried.
const retryShare = 0.1

// attempt decides on a request and sends, queues or refuses it.
func (e *entry) attempt(q *request) {
	if q.outcome != open {
		return
	}
	if e.down {
		e.run.deliver(q)
		return
	}
	q.attempt++
	query, cell, servers := e.routeQuery(q)
	d := e.strategy.Decide(e.run.clock.time(), query, cell, e.random)
	queueing := e.queueing(q, &d)
	q.expected, q.sent = d.TTFT+queueing, e.run.clock.now
	if !e.admitted(q, &d, queueing) {
		q.outcome = refused
		return
	}
	if e.mustWait(q, &d) {
		e.enqueue(q, &d)
		return
	}
	q.server = servers[d.Server]
	e.send(q, query, d)
}

// admitted applies admission if the strategy under comparison uses it. A request without any server
// is always refused.
func (e *entry) admitted(q *request, d *route.Decision, queueing time.Duration) bool {
	if d.Server == route.None {
		return false
	}
	if !e.run.config.Variant.Admission {
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

// worth returns the worth of the request, or 0 if admission does not compare requests by worth.
func (e *entry) worth(q *request) float64 {
	if e.run.config.Variant.IgnoreWorth {
		return 0
	}
	return q.arrival.Rules.Worth
}

// compute returns the expected compute time at the chosen server.
func compute(d *route.Decision) time.Duration {
	chosen, _ := d.Chosen()
	return fromSeconds(chosen.Compute)
}

func (e *entry) send(q *request, query *route.Request, d route.Decision) {
	q.record = e.newRecord(q, query, d)
	e.own[q.record] = true
	e.active[q] = true
	q.job = e.run.newJob(q, d)
	job, server := q.job, e.run.engines[q.server]
	job.firstToken = func() { e.run.reply(e, func() { e.firstToken(q, job) }) }
	job.finished = func() { e.run.reply(e, func() { e.finished(q, job) }) }
	job.failed = func() { e.run.reply(e, func() { e.failed(q, job) }) }
	e.run.clock.after(e.run.config.Deployment.ZoneDelay, func() { server.submit(job) })
}

// newRecord returns the work in flight of a request that is sent to the peers.
func (e *entry) newRecord(q *request, query *route.Request, d route.Decision) *record {
	r := &record{server: q.server, band: route.Band(q.arrival.Rules.Priority), sent: e.run.clock.now}
	r.tokens = int64(query.Tail())
	for i, s := range d.Plan {
		if s.Source == route.Recompute {
			r.tokens += int64(query.Pieces[i].Tokens)
		}
		if s.Source != route.Import {
			continue
		}
		if r.link == nil {
			r.link, r.disk = make([]int64, len(e.stores)), make([]int64, len(e.stores))
		}
		r.link[s.Copy.Store] += query.Pieces[i].Bytes
		if s.Copy.Tier == route.Disk {
			r.disk[s.Copy.Store] += query.Pieces[i].Bytes
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
	e.run.countTokens(q, j)
	e.export(q)
}

func (e *entry) finished(q *request, j *job) {
	if q.job == j {
		delete(e.active, q)
	}
}

// failed retries a failed request on another server if the retry policy allows it.
func (e *entry) failed(q *request, j *job) {
	delete(e.own, q.record)
	delete(e.active, q)
	e.suspect(q.server)
	if q.job != j || q.outcome == expired {
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

// suspect marks a server as suspect after its connection failed.
func (e *entry) suspect(server int) {
	e.servers[server].suspect = true
	e.servers[server].suspectedAt = e.run.clock.now
}

// cancel ends a request whose deadline has expired.
func (e *entry) cancel(q *request) {
	delete(e.own, q.record)
	delete(e.active, q)
	e.admission.Observe(q.arrival.Rules.Priority, q.expected, e.run.clock.now-q.sent)
	if q.job != nil {
		e.run.engines[q.server].cancel(q.job)
	}
}

// crash loses the entry with all its requests; their callers resend them through another entry.
func (e *entry) crash() {
	e.down = true
	active := make([]*request, 0, len(e.active))
	for q := range e.active {
		active = append(active, q)
	}
	slices.SortFunc(active, func(a, b *request) int { return a.arrival.Number - b.arrival.Number })
	clear(e.active)
	clear(e.own)
	e.resendWaiting()
	for _, q := range active {
		e.run.engines[q.server].cancel(q.job)
		e.resend(q)
	}
}

// resendDelay is how long a caller waits before it resends a request after its connection failed.
const resendDelay = time.Second

func (e *entry) resend(q *request) {
	q.job = nil
	if q.outcome == answered || q.arrival.Rules.NonIdempotent {
		q.outcome = lost
		return
	}
	e.run.clock.after(resendDelay, func() { e.run.deliver(q) })
}
