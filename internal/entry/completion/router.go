package completion

import (
	"context"
	"math/rand/v2"
	"sync"

	"hornbeamwood/internal/entry/caller"
)

// Router runs completions.
type Router interface {
	caller.Completer
	// Wait returns when all exports and other work beside requests has ended.
	Wait()
}

type router struct {
	Config
	inFlight *inFlight
	exporter *exporter
	visits   *visits
	losses   *losses
	meters   *meters
	running  sync.WaitGroup
}

// New returns a Router.
func New(c Config) Router {
	c.Random = rand.New(&lockedSource{source: c.Random})
	m := newMeters(c.Metrics)
	return &router{
		Config:   c,
		meters:   m,
		inFlight: newInFlight(),
		exporter: newExporter(c, m),
		visits:   newVisits(),
		losses:   newLosses(),
	}
}

// Wait implements Router.
func (r *router) Wait() {
	r.exporter.wait()
	r.running.Wait()
}

// Complete implements caller.Completer.
func (r *router) Complete(ctx context.Context, q caller.Request) (caller.Stream, error) {
	j := r.newJob(q)
	r.Guard.Name(j.fingerprint, q.Workspace, q.Model.Name)
	if err := r.Guard.Check(r.Now(), j.fingerprint); err != nil {
		r.meters.ended(err)
		return nil, err
	}
	j.locations = r.Cache.Lookup(ctx, j.keys)
	r.Retry.First(q.Workspace, q.Rules.RetryShare)
	a, err := r.start(ctx, j)
	for err != nil {
		if a == nil {
			r.meters.ended(err)
			return nil, err
		}
		j.exclude(a)
		a, err = r.again(ctx, j, err)
	}
	return newStream(ctx, r, j, a), nil
}
