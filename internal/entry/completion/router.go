package completion

import (
	"context"
	"math/rand/v2"

	"hornbeamwood/internal/entry/caller"
)

// Router runs completions.
type Router interface {
	caller.Completer
	// Wait returns when all exports that were begun have ended.
	Wait()
}

type router struct {
	Config
	inFlight *inFlight
	exporter *exporter
	visits   *visits
	losses   *losses
}

// New returns a Router.
func New(c Config) Router {
	c.Random = rand.New(&lockedSource{source: c.Random})
	return &router{
		Config:   c,
		inFlight: newInFlight(),
		exporter: newExporter(c),
		visits:   newVisits(),
		losses:   newLosses(),
	}
}

// Wait implements Router.
func (r *router) Wait() {
	r.exporter.wait()
}

// Complete implements caller.Completer.
func (r *router) Complete(ctx context.Context, q caller.Request) (caller.Stream, error) {
	j := r.newJob(q)
	r.Guard.Name(j.fingerprint, q.Workspace, q.Model.Name)
	if err := r.Guard.Check(r.Now(), j.fingerprint); err != nil {
		return nil, err
	}
	j.locations = r.Cache.Lookup(ctx, j.keys)
	r.Retry.First(q.Workspace, q.Rules.RetryShare)
	a, err := r.start(ctx, j)
	for err != nil {
		if a == nil {
			return nil, err
		}
		j.exclude(a)
		a, err = r.again(ctx, j, err)
	}
	return newStream(ctx, r, j, a), nil
}
