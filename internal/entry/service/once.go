package service

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/ledger"
)

// flow is one non-idempotent call on its way.
type flow struct {
	client  *client
	request Request
	scope   ledger.Scope
	digest  ledger.Digest
	attempt string
	started time.Time
}

// reply is what a flow ends with.
type reply struct {
	answer Answer
	err    error
}

// callOnce runs the flow apart from the caller's context: a caller that goes
// away must not turn a call that runs into one of which nobody knows.
func (c *client) callOnce(ctx context.Context, r Request) (Answer, error) {
	f := &flow{
		client:  c,
		request: r,
		scope:   ledger.Scope{Workspace: r.Workspace, Service: r.Service, Key: r.Key},
		digest:  ledger.DigestOf(r.Method, r.Path, r.Body),
		attempt: c.NewAttempt(),
		started: c.Now(),
	}
	replies := make(chan reply, 1)
	kept := context.WithoutCancel(ctx)
	c.begin()
	go func() {
		defer c.end()
		f.run(kept, replies)
	}()
	ctx, cancel := context.WithTimeout(ctx, c.deadline(r))
	defer cancel()
	select {
	case p := <-replies:
		return p.answer, p.err
	case <-ctx.Done():
		return Answer{}, verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "deadline",
			"the call still runs; send again under the same Idempotency-Key for its outcome").
			WithRetryAfter(time.Second).WithCause(ctx.Err())
	}
}

// run claims, dispatches, records and replies, in this order.
func (f *flow) run(ctx context.Context, replies chan<- reply) {
	result, err := f.claim(ctx)
	if err != nil {
		replies <- reply{err: err}
		return
	}
	if result.Kind != ledger.Granted || result.Attempt != f.attempt {
		a, err := f.found(result)
		replies <- reply{answer: a, err: err}
		return
	}
	f.client.write(event.CallClaimed, f.request, log.Fields{"attempt": f.attempt})
	a, err := f.dispatch(ctx)
	if err != nil {
		f.fail(ctx, err, replies)
		return
	}
	f.settle(ctx, a, replies)
}

// claim returns what the ledger says of this attempt.
//
// An entry that was frozen for long is taken for dead and its incarnation is
// refused. When it goes on it would refuse every call until its restart, so it
// takes a new incarnation and claims once more.
func (f *flow) claim(ctx context.Context) (ledger.Result, error) {
	incarnation := f.client.incarnation.Load()
	result, err := f.claimAs(ctx, incarnation)
	if err != nil || result.Kind != ledger.Stale {
		return result, err
	}
	f.client.incarnation.CompareAndSwap(incarnation, f.client.NewIncarnation())
	f.attempt = f.client.NewAttempt()
	return f.claimAs(ctx, f.client.incarnation.Load())
}

// claimAs proposes the claim until the ledger answers or its time is over.
//
// While the control log changes its leader, a proposal's commit is unknown or
// refused for a moment. A caller that was sent away then would see a planned
// restart as an error. The same claim may be proposed again: the ledger takes
// it for the attempt that it already knows.
func (f *flow) claimAs(ctx context.Context, incarnation uint64) (ledger.Result, error) {
	claim := ledger.Command{Claim: &ledger.Claim{
		Scope:       f.scope,
		Digest:      f.digest,
		Entry:       f.client.Entry,
		Incarnation: incarnation,
		Attempt:     f.attempt,
		Keep:        f.request.Rules.LedgerKeep,
	}}
	unknown := false
	for backoff := firstBackoff; ; backoff = min(2*backoff, lastBackoff) {
		result, err := f.client.propose(ctx, claim)
		if err == nil {
			return result, nil
		}
		unknown = unknown || verdict.Of(err) != verdict.NotRun
		left := f.client.ClaimTimeout - f.client.Now().Sub(f.started)
		if backoff < left && f.client.Wait(ctx, backoff) == nil {
			continue
		}
		if !unknown {
			return ledger.Result{}, ledgerDown(err)
		}
		return f.readBack(ctx, err)
	}
}

// readBack finds out what became of a claim whose commit is unknown. When it
// can't, or the claim isn't there yet, the attempt is released: without that,
// a claim that arrives late would stay live and hold back every resend.
func (f *flow) readBack(ctx context.Context, cause error) (ledger.Result, error) {
	result, err := f.client.lookup(ctx, ledger.Lookup{Scope: f.scope, Digest: f.digest, Attempt: f.attempt})
	if err == nil && result.Kind != ledger.Absent {
		return result, nil
	}
	f.releaseLater(ctx)
	return ledger.Result{}, ledgerDown(cause)
}

// found returns the reply to a call that this attempt may not dispatch.
func (f *flow) found(r ledger.Result) (Answer, error) {
	f.client.write(event.CallFound, f.request, log.Fields{"attempt": f.attempt, "holder": r.Attempt, "found": string(r.Kind)})
	switch r.Kind {
	case ledger.Found:
		return repeat(*r.Answer)
	case ledger.Busy:
		return Answer{}, verdict.New(verdict.MayHaveRun, http.StatusConflict, "call-in-progress",
			"the call runs already under this Idempotency-Key").WithRetryAfter(r.RetryAfter)
	case ledger.Mismatch:
		return Answer{}, verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, "idempotency-key-reused",
			"the Idempotency-Key was used with another request; this request did not run")
	case ledger.Stale:
		return Answer{}, verdict.New(verdict.MayHaveRun, http.StatusServiceUnavailable, "entry-abandoned",
			"this entry's claims were abandoned; send again under the same Idempotency-Key").WithRetryAfter(time.Second)
	case ledger.Invalid:
		return Answer{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "invalid-call", "the call is beyond the ledger's bounds")
	default:
		return Answer{}, outcomeUnknown()
	}
}

func outcomeUnknown() verdict.Error {
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "outcome-unknown",
		"the call may have run and its outcome can't be known; it is not dispatched again; an operator can resolve it")
}

// repeat returns the recorded answer, or says that it ran when the record has no body.
func repeat(a ledger.Answer) (Answer, error) {
	if a.Dropped {
		return Answer{}, verdict.New(verdict.Ran, http.StatusBadGateway, "answer-not-kept",
			"the call ran; its answer was not kept")
	}
	return answerOf(a), nil
}
