package sitecontrol

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/policy/rest"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/weights"
)

var errResting = errors.New("the server rests")

// rested makes no calls to servers that have asked for rest. It knows them by their addresses, because
// stores have no other name.
type rested struct {
	rests  rest.Rests
	logger log.Interface
}

// call makes a call unless the server rests, and records a rest that the response asks for.
func call[T any](r *rested, address string, f func() (T, error)) (T, error) {
	sentAt := time.Now()
	if _, ok := r.rests.Reserve(address, 0, sentAt); !ok {
		var none T
		return none, fmt.Errorf("%s: %w", address, errResting)
	}
	v, err := f()
	r.record(address, err, sentAt)
	return v, err
}

func (r *rested) record(address string, err error, sentAt time.Time) {
	var asked *rest.Error
	now := time.Now()
	if errors.As(err, &asked) && r.rests.Ask(address, asked.For, now) {
		event.ServerRests.Write(r.logger, log.Fields{"server": address, "rest-ms": asked.For.Milliseconds()})
	}
	if err == nil && r.rests.Accept(address, sentAt) {
		event.ServerRests.Write(r.logger, log.Fields{"server": address, "rest-ms": 0})
	}
}

// restedEngines is a weights.Client.
type restedEngines struct {
	*rested
	client weights.Client
}

// Report implements weights.Client.
func (e restedEngines) Report(ctx context.Context, s directory.Server) (weights.Report, error) {
	return call(e.rested, s.Address, func() (weights.Report, error) { return e.client.Report(ctx, s) })
}

// Order implements weights.Client.
func (e restedEngines) Order(ctx context.Context, s directory.Server, o weights.Order) (weights.Outcome, error) {
	return call(e.rested, s.Address, func() (weights.Outcome, error) { return e.client.Order(ctx, s, o) })
}

// restedStores is a stores.Client.
type restedStores struct {
	*rested
	client stores.Client
}

// Events implements stores.Client.
func (s restedStores) Events(ctx context.Context, address string, next int64, wait time.Duration) (stores.Feed, error) {
	return call(s.rested, address, func() (stores.Feed, error) { return s.client.Events(ctx, address, next, wait) })
}

// List implements stores.Client.
func (s restedStores) List(ctx context.Context, address string) (stores.Listing, error) {
	return call(s.rested, address, func() (stores.Listing, error) { return s.client.List(ctx, address) })
}

// Free implements stores.Client.
func (s restedStores) Free(ctx context.Context, address string, epoch int64, parts []stores.Part, until int64) error {
	_, err := call(s.rested, address, func() (struct{}, error) {
		return struct{}{}, s.client.Free(ctx, address, epoch, parts, until)
	})
	return err
}
