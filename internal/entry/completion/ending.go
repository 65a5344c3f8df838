package completion

import (
	"context"
	"errors"
	"io"
	"net/http"

	"hornbeamwood/internal/base/verdict"
)

// classify distinguishes failures of an attempt from cancellations by the entry:
// the caller has disconnected, or the first token did not arrive in time. Counted
// as lost servers, the latter would put harmless prompts into quarantine.
func classify(ctx context.Context, a *attempt, cause error) error {
	if errors.Is(cause, io.EOF) {
		return cause
	}
	if ctx.Err() != nil {
		return callerCancelled(cause).WithVerdict(verdict.Of(cause))
	}
	if !a.released && !a.firstTokenTimer.Stop() {
		return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, codeSilent,
			"the model engine sent nothing in time").WithCause(cause)
	}
	return cause
}

// observe reports to the admission policy the time to the first token, or the time waited without one.
func (r *router) observe(j *job, a *attempt) {
	r.Admission.Observe(j.Rules.Priority, a.expected, r.Now().Sub(a.sent))
}

// end records the end of the attempt and releases its resources; io.EOF stands for a complete answer.
func (r *router) end(ctx context.Context, j *job, a *attempt, cause error) {
	ctx = context.WithoutCancel(ctx)
	began := a.released
	if r.releaseInFlight(ctx, a) && waitAbandoned(cause) {
		r.observe(j, a)
	}
	identity := a.server.Announcement().Identity
	lost := lostServer(cause)
	if lost || unresponsive(cause) {
		r.outages.Add(r.Now(), identity)
	}
	r.Guard.Ended(ctx, r.Now(), Run{
		Workspace: j.Workspace, Attributes: j.shared, Server: identity, SentAt: a.sent, Began: began, Answered: errors.Is(cause, io.EOF), Lost: lost,
	})
	if errors.Is(cause, io.EOF) {
		r.exporter.start(r, j, a)
	}
	if a.stream != nil {
		a.stream.Close()
	}
	a.cancel()
}

// lostServer reports whether the attempt ended as it does when its server is
// lost: the connection broke and could not be resumed. An engine that answers
// with an error is alive; counted as lost, it would put a harmless prompt into
// quarantine.
func lostServer(cause error) bool {
	e, ok := verdict.As(cause)
	return ok && e.Code == codeLost
}

// unresponsive reports whether no connection to the server could be made, or nothing was received on it in time.
func unresponsive(cause error) bool {
	e, ok := verdict.As(cause)
	return ok && (e.Code == codeUnreachable || e.Code == codeSilent)
}

// waitAbandoned reports whether the caller or the timeout ended the wait for the first token.
func waitAbandoned(cause error) bool {
	e, ok := verdict.As(cause)
	return ok && (e.Code == codeCancelled || e.Code == codeSilent)
}
