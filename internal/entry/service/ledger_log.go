package service

import (
	"context"
	"fmt"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/ledger"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// propose proposes one command to the ledger.
func (c *client) propose(ctx context.Context, command ledger.Command) (ledger.Result, error) {
	body, err := codec.Marshal(command)
	if err != nil {
		return ledger.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.LogTimeout)
	defer cancel()
	b, err := c.Log.Propose(ctx, ledger.Name, body)
	if err != nil {
		return ledger.Result{}, err
	}
	return codec.Unmarshal[ledger.Result](b)
}

// lookup reads one record with a linearizable query.
func (c *client) lookup(ctx context.Context, q ledger.Lookup) (ledger.Result, error) {
	body, err := codec.Marshal(ledger.Query{Lookup: &q})
	if err != nil {
		return ledger.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.LogTimeout)
	defer cancel()
	b, err := c.Log.Read(ctx, ledger.Name, body)
	if err != nil {
		return ledger.Result{}, err
	}
	return codec.Unmarshal[ledger.Result](b)
}

// persist proposes an idempotent command repeatedly until its result is known or ctx ends.
func (c *client) persist(ctx context.Context, command ledger.Command) (ledger.Result, error) {
	backoff := minBackoff
	for {
		r, err := c.propose(ctx, command)
		if err == nil {
			return r, nil
		}
		if werr := c.Wait(ctx, backoff); werr != nil {
			return ledger.Result{}, fmt.Errorf("service: stop retrying the log: %w", err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// Abandon implements Client.
func (c *client) Abandon(ctx context.Context, entry string, incarnation uint64) (int, error) {
	r, err := c.persist(ctx, ledger.Command{Abandon: &ledger.Abandon{Entry: entry, Incarnation: incarnation}})
	return r.Count, err
}

// ledgerUnavailable is the refusal of a call whose record can't be reached. Its
// verdict is may-have-run, because an earlier send under the same key may have
// run.
func ledgerUnavailable(err error) verdict.Error {
	e := verdict.New(verdict.MayHaveRun, 503, "ledger-unavailable",
		"the record of calls can't be reached; this send dispatched nothing; send again under the same Idempotency-Key")
	if cause, ok := verdict.As(err); ok && cause.RetryAfter > 0 {
		return e.WithRetryAfter(cause.RetryAfter).WithCause(err)
	}
	return e.WithRetryAfter(time.Second).WithCause(err)
}
