package sitecontrol

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/policy/backoff"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/weights"
)

var errBackoff = errors.New("the server is in backoff")

// backoffCaller makes no calls to servers that have requested a backoff. It knows them by their addresses, because
// stores have no other name.
type backoffCaller struct {
	backoffs backoff.Backoffs
	logger   log.Interface
}

// call makes a call unless the server is in backoff, and records a backoff that the response requests.
func call[T any](r *backoffCaller, address string, f func() (T, error)) (T, error) {
	sentAt := time.Now()
	if _, ok := r.backoffs.Reserve(address, 0, sentAt); !ok {
		var none T
		return none, fmt.Errorf("%s: %w", address, errBackoff)
	}
	v, err := f()
	r.record(address, err, sentAt)
	return v, err
}

func (r *backoffCaller) record(address string, err error, sentAt time.Time) {
	var requested *backoff.Error
	now := time.Now()
	if errors.As(err, &requested) && r.backoffs.Request(address, requested.For, now) {
		event.ServerBackoff.Write(r.logger, log.Fields{"server": address, "backoff-ms": requested.For.Milliseconds()})
	}
	if err == nil && r.backoffs.Accept(address, sentAt) {
		event.ServerBackoff.Write(r.logger, log.Fields{"server": address, "backoff-ms": 0})
	}
}

// backoffEngines is a weights.Client.
type backoffEngines struct {
	*backoffCaller
	client weights.Client
}

// Report implements weights.Client.
func (e backoffEngines) Report(ctx context.Context, s directory.Server) (weights.Report, error) {
	return call(e.backoffCaller, s.Address, func() (weights.Report, error) { return e.client.Report(ctx, s) })
}

// Order implements weights.Client.
func (e backoffEngines) Order(ctx context.Context, s directory.Server, o weights.Order) (weights.Outcome, error) {
	return call(e.backoffCaller, s.Address, func() (weights.Outcome, error) { return e.client.Order(ctx, s, o) })
}

// backoffStores is a stores.Client.
type backoffStores struct {
	*backoffCaller
	client stores.Client
}

// Events implements stores.Client.
func (s backoffStores) Events(ctx context.Context, address string, next int64, wait time.Duration) (stores.Feed, error) {
	return call(s.backoffCaller, address, func() (stores.Feed, error) { return s.client.Events(ctx, address, next, wait) })
}

// List implements stores.Client.
func (s backoffStores) List(ctx context.Context, address string) (stores.Listing, error) {
	return call(s.backoffCaller, address, func() (stores.Listing, error) { return s.client.List(ctx, address) })
}

// Free implements stores.Client.
func (s backoffStores) Free(ctx context.Context, address string, epoch int64, parts []stores.Part, until int64) error {
	_, err := call(s.backoffCaller, address, func() (struct{}, error) {
		return struct{}{}, s.client.Free(ctx, address, epoch, parts, until)
	})
	return err
}
