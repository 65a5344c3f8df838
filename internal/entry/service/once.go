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

// flow is the state of one non-idempotent call.
type flow struct {
	client  *client
	request Request
	scope   ledger.Scope
	digest  ledger.Digest
	attempt string
	started time.Time
	// settled ends the count of this call as open; nil before its claim is granted.
	settled func()
}

// reply is the result of a flow.
type reply struct {
	answer Answer
	err    error
}

// callOnce runs the flow independently of the caller's context: a caller that
// disconnects must not make the outcome of a running call unknown.
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
	detached := context.WithoutCancel(ctx)
	c.running.Go(func() { f.run(detached, replies) })
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

// run claims the call, dispatches it, records its outcome and replies, in this order.
func (f *flow) run(ctx context.Context, replies chan<- reply) {
	result, err := f.claim(ctx)
	if err != nil {
		replies <- reply{err: err}
		return
	}
	if result.Kind != ledger.Granted || result.Attempt != f.attempt {
		a, err := f.refusedClaim(result)
		replies <- reply{answer: a, err: err}
		return
	}
	f.settled = f.client.trackOpen()
	defer f.settled()
	f.client.write(event.CallClaimed, f.request, log.Fields{"attempt": f.attempt})
	a, err := f.dispatch(ctx)
	if err != nil {
		f.fail(ctx, err, replies)
		return
	}
	f.complete(ctx, a, replies)
}

// claim returns the ledger's result for the claim of this attempt.
//
// An entry that was suspended for a long time is declared dead, and its
// incarnation is refused. After it resumes, it would refuse every call until its
// restart. It therefore takes a new incarnation and claims once more.
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

// claimAs proposes the claim until the ledger answers or ClaimTimeout has passed.
//
// While the control log changes its leader, a proposal is refused or its commit
// is unknown for a short time. Without retries, callers would see an error at
// each planned restart. The same claim may be proposed again: the ledger
// recognizes the attempt.
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
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		result, err := f.client.propose(ctx, claim)
		if err == nil {
			return result, nil
		}
		unknown = unknown || verdict.Of(err) != verdict.NotRun
		remaining := f.client.ClaimTimeout - f.client.Now().Sub(f.started)
		if backoff < remaining && f.client.Wait(ctx, backoff) == nil {
			continue
		}
		if !unknown {
			return ledger.Result{}, ledgerUnavailable(err)
		}
		return f.readBack(ctx, err)
	}
}

// readBack looks up a claim whose commit is unknown. If the lookup fails or the
// claim is not committed yet, it releases the attempt: otherwise a claim that is
// committed late would stay in force and block every resend.
func (f *flow) readBack(ctx context.Context, cause error) (ledger.Result, error) {
	result, err := f.client.lookup(ctx, ledger.Lookup{Scope: f.scope, Digest: f.digest, Attempt: f.attempt})
	if err == nil && result.Kind != ledger.Absent {
		return result, nil
	}
	f.releaseLater(ctx)
	return ledger.Result{}, ledgerUnavailable(cause)
}

// refusedClaim returns the reply to a call that this attempt may not dispatch.
func (f *flow) refusedClaim(r ledger.Result) (Answer, error) {
	f.client.write(event.CallFound, f.request, log.Fields{"attempt": f.attempt, "holder": r.Attempt, "found": string(r.Kind)})
	switch r.Kind {
	case ledger.Found:
		return recordedAnswer(*r.Answer)
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

// recordedAnswer returns the recorded answer, or an error with the verdict ran when its body was not kept.
func recordedAnswer(a ledger.Answer) (Answer, error) {
	if a.Dropped {
		return Answer{}, verdict.New(verdict.Ran, http.StatusBadGateway, "answer-not-kept",
			"the call ran; its answer was not kept")
	}
	return answerOf(a), nil
}
