package completion

import (
	"context"
	"errors"
	"io"
	"net/http"

	"hornbeamwood/internal/base/verdict"
)

// classify tells a failed attempt's own end from those that the entry brought
// about: the caller has left, or the first token did not come in time. Taken
// for the loss of their server, these would bring harmless prompts into quarantine.
func classify(ctx context.Context, a *attempt, cause error) error {
	if errors.Is(cause, io.EOF) {
		return cause
	}
	if ctx.Err() != nil {
		return callerGone(cause).WithVerdict(verdict.Of(cause))
	}
	if !a.first && !a.silence.Stop() {
		return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, codeSilent,
			"the model engine sent nothing in time").WithCause(cause)
	}
	return cause
}

// observe tells admission how long the first token took, or how long its caller waited in vain.
func (r *router) observe(j *job, a *attempt) {
	r.Admission.Observe(j.Rules.Priority, a.expected, r.Now().Sub(a.sent))
}

// end notes how the attempt ended; io.EOF stands for a whole answer.
func (r *router) end(ctx context.Context, j *job, a *attempt, cause error) {
	ctx = context.WithoutCancel(ctx)
	if r.begun(ctx, a) && gaveUp(cause) {
		r.observe(j, a)
	}
	identity := a.server.Announcement().Identity
	lost := lostServer(cause)
	if lost || unanswered(cause) {
		r.losses.add(r.Now(), identity)
	}
	r.Guard.Ended(ctx, r.Now(), j.fingerprint, identity, lost)
	if errors.Is(cause, io.EOF) {
		r.exporter.begin(r, j, a)
	}
	if a.stream != nil {
		a.stream.Close()
	}
	a.cancel()
}

// lostServer says whether the attempt ended as if its server were lost: the
// connection broke and could not be taken up again. An engine that answers with
// an error lives; counted as lost, it would bring a harmless prompt into quarantine.
func lostServer(cause error) bool {
	e, ok := verdict.As(cause)
	return ok && e.Code == codeLost
}

// unanswered says whether no connection to the server could be made, or nothing came over it in time.
func unanswered(cause error) bool {
	e, ok := verdict.As(cause)
	return ok && (e.Code == codeUnreachable || e.Code == codeSilent)
}

// gaveUp says whether somebody stopped waiting for a first token.
func gaveUp(cause error) bool {
	e, ok := verdict.As(cause)
	return ok && (e.Code == codeCancelled || e.Code == codeSilent)
}
