package sitecontrol

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hornbeamwood/internal/policy/backoff"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/weights"
)

// refusingServer counts the calls to an engine and store that refuses them with err.
type refusingServer struct {
	err   error
	calls int
}

func (r *refusingServer) Report(context.Context, directory.Server) (weights.Report, error) {
	r.calls++
	return weights.Report{}, r.err
}

func (r *refusingServer) Order(context.Context, directory.Server, weights.Order) (weights.Outcome, error) {
	r.calls++
	return weights.Unanswered, r.err
}

func (r *refusingServer) Events(context.Context, string, int64, time.Duration) (stores.Feed, error) {
	r.calls++
	return stores.Feed{}, r.err
}

func (r *refusingServer) List(context.Context, string) (stores.Listing, error) {
	r.calls++
	return stores.Listing{}, r.err
}

func (r *refusingServer) Free(context.Context, string, int64, []stores.Part, int64) error {
	r.calls++
	return r.err
}

// Guards against calls of any kind to a server that backoffs, to which calls of another kind may have been refused,
// and against a server that backoffs for ever.
func TestNoCallsDuringABackoff(t *testing.T) {
	ctx, engine := context.Background(), directory.Server{ID: "i-1", Address: "a:1"}
	s := &refusingServer{err: fmt.Errorf("report: %w", &backoff.Error{Status: 503, For: 100 * time.Millisecond})}
	r := &backoffCaller{backoffs: backoff.New(), logger: &log.Logger{Handler: discard.New()}}
	engines, kept := backoffEngines{r, s}, backoffStores{r, s}
	calls := []func(address string) error{
		func(a string) error {
			_, err := engines.Report(ctx, directory.Server{ID: "i-1", Address: a})
			return err
		},
		func(string) error { _, err := engines.Order(ctx, engine, weights.Order{}); return err },
		func(a string) error { _, err := kept.Events(ctx, a, 1, time.Second); return err },
		func(a string) error { _, err := kept.List(ctx, a); return err },
		func(a string) error { return kept.Free(ctx, a, 1, nil, 1) },
	}
	for _, do := range calls {
		if err := do(engine.Address); err == nil {
			t.Error("a refused call succeeded")
		}
	}
	if s.calls != 1 {
		t.Errorf("the server got %d calls", s.calls)
	}
	if err := calls[0]("b:1"); errors.Is(err, errBackoff) {
		t.Error("another server counts as in backoff")
	}
	s.err = nil
	time.Sleep(100 * time.Millisecond)
	for i, do := range calls {
		if err := do(engine.Address); err != nil {
			t.Errorf("call %d after the backoff: %v", i, err)
		}
	}
}
