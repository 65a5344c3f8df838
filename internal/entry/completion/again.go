package completion

import (
	"context"
	"net/http"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/policy/retry"
)

// Codes of failures that say nothing about the server's health.
const (
	codeCancelled = "caller-gone"
	codeSilent    = "engine-silent"
	// codeUnreachable and codeLost are those of the engine client.
	codeUnreachable = "engine-unreachable"
	codeLost        = "stream-lost"
)

// again decides whether a failed attempt is followed by another one. It
// returns a nil attempt when there is none, with the error for the caller.
func (r *router) again(ctx context.Context, j *job, cause error) (*attempt, error) {
	if ctx.Err() != nil {
		return nil, callerGone(cause).WithVerdict(verdict.Of(cause))
	}
	if j.attempts == 0 || final(cause) {
		return nil, cause
	}
	if err := r.Guard.Check(r.Now(), j.fingerprint); err != nil {
		return nil, err
	}
	d := r.Retry.Decide(retry.Failure{
		Workspace:  j.Workspace,
		Verdict:    verdict.Of(cause),
		Idempotent: true,
		Attempt:    j.attempts,
		Remaining:  j.remaining(r.Now()),
		Servers:    len(r.view(r.Now(), j).servers),
	}, r.Random)
	r.logRetry(j, d, cause)
	if !d.Retry {
		return nil, cause
	}
	if !wait.For(ctx, d.Wait) {
		return nil, cause
	}
	r.meters.retried.Inc()
	a, err := r.start(ctx, j)
	if err != nil && a == nil {
		return nil, worse(cause, err)
	}
	return a, err
}

func callerGone(cause error) verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeCancelled, "the caller has gone").WithCause(cause)
}

// final says whether a failure is the caller's own, which another server would repeat.
func final(cause error) bool {
	e, ok := verdict.As(cause)
	return ok && e.Status == http.StatusBadRequest
}

// worse returns the refusal of a further attempt with the verdict of the
// earlier ones: that the last one was refused does not undo what may have run.
func worse(earlier, refusal error) error {
	e, ok := verdict.As(refusal)
	if !ok || verdict.Of(earlier) == verdict.NotRun {
		return refusal
	}
	return e.WithVerdict(verdict.MayHaveRun)
}
