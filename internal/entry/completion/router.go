package completion

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/entry/caller"
	"hornbeamwood/internal/policy/backoff"
	"hornbeamwood/internal/policy/outage"
)

// Router runs completions.
type Router interface {
	caller.Completer
	// Close stops the background work and waits for running exports; it is called after the last request.
	Close()
}

type router struct {
	Config
	inFlight *inFlight
	exporter *exporter
	visits   *visits
	outages  outage.Outages
	metrics  *routerMetrics
	queues   *waitQueues
	running  sync.WaitGroup
	cancel   context.CancelFunc
}

// New returns a Router.
func New(c Config) Router {
	c.Random = rand.New(&lockedSource{source: c.Random})
	if c.Backoffs == nil {
		c.Backoffs = backoff.New()
	}
	m := newRouterMetrics(c.Metrics)
	ctx, cancel := context.WithCancel(context.Background())
	r := &router{
		Config:   c,
		cancel:   cancel,
		metrics:  m,
		inFlight: newInFlight(),
		exporter: newExporter(c, m),
		visits:   newVisits(),
		outages:  outage.New(),
	}
	r.queues = newWaitQueues(r)
	r.running.Go(func() { r.queues.run(ctx) })
	return r
}

// Close implements Router.
func (r *router) Close() {
	r.cancel()
	r.exporter.wait()
	r.running.Wait()
}

// Complete implements caller.Completer.
func (r *router) Complete(ctx context.Context, q caller.Request) (caller.Stream, error) {
	if err := checkContext(q); err != nil {
		r.metrics.ended(err)
		return nil, err
	}
	j := r.newJob(q)
	r.Guard.RecordOwner(j.shared.Request, q.Workspace, q.Model.Name)
	if err := r.Guard.Check(r.Now(), j.Workspace, j.shared); err != nil {
		r.metrics.ended(err)
		return nil, err
	}
	j.locations = r.Cache.Lookup(ctx, j.keys)
	r.Retry.CountFirstAttempt(q.Workspace, q.Rules.RetryShare, q.Snapshot.Fleet.RetryShare)
	a, err := r.start(ctx, j)
	for err != nil {
		if a == nil {
			r.metrics.ended(err)
			return nil, err
		}
		j.exclude(a)
		a, err = r.retryAttempt(ctx, j, err)
	}
	return newStream(ctx, r, j, a), nil
}

// checkContext refuses a prompt that is longer than its model's context. An
// engine would refuse it only after it has received and queued it.
func checkContext(q caller.Request) error {
	limit := q.Model.ContextTokens
	if limit <= 0 || len(q.Tokens) <= limit {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusBadRequest, "context-length-exceeded",
		"the prompt has about %d tokens; model %s takes %d with the answer", len(q.Tokens), q.Model.Name, limit)
}
