package completion

import (
	"context"
	"net/http"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/policy/retry"
)

// Codes of failures that do not indicate whether the server is healthy.
const (
	codeCancelled = "caller-gone"
	codeSilent    = "engine-silent"
	// codeUnreachable and codeLost are set by the engine client.
	codeUnreachable = "engine-unreachable"
	codeLost        = "stream-lost"
)

// retryAttempt starts another attempt after a failed one if the retry policy
// allows it. Otherwise it returns a nil attempt and the error for the caller.
func (r *router) retryAttempt(ctx context.Context, j *job, cause error) (*attempt, error) {
	if ctx.Err() != nil {
		return nil, callerCancelled(cause).WithVerdict(verdict.Of(cause))
	}
	if j.attempts == 0 || callerFault(cause) {
		return nil, cause
	}
	if err := r.Guard.Check(r.Now(), j.Workspace, j.shared); err != nil {
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
	r.metrics.retried.Inc()
	a, err := r.start(ctx, j)
	if err != nil && a == nil {
		return nil, withEarlierVerdict(cause, err)
	}
	return a, err
}

func callerCancelled(cause error) verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeCancelled, "the caller has gone").WithCause(cause)
}

// callerFault reports whether the caller's request caused the failure, so that every server would fail alike.
func callerFault(cause error) bool {
	e, ok := verdict.As(cause)
	return ok && e.Status == http.StatusBadRequest
}

// withEarlierVerdict returns the refusal of a further attempt with the verdict
// of the earlier ones: the refusal does not undo what an earlier attempt may
// have run.
func withEarlierVerdict(earlier, refusal error) error {
	e, ok := verdict.As(refusal)
	if !ok || verdict.Of(earlier) == verdict.NotRun {
		return refusal
	}
	return e.WithVerdict(verdict.MayHaveRun)
}
