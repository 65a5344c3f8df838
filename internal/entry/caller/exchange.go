package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/inbound"
	"hornbeamwood/internal/settings/rules"
)

// exchange is one HTTP request with its answer.
type exchange struct {
	handler   *handler
	writer    http.ResponseWriter
	request   *http.Request
	id        string
	snapshot  *rules.Snapshot
	workspace rules.Workspace
	// bodyRead is set once the body is read, or can't be.
	bodyRead bool
}

type exchangeKey struct{}

func withExchange(ctx context.Context, x *exchange) context.Context {
	return context.WithValue(ctx, exchangeKey{}, x)
}

func exchangeOf(ctx context.Context) *exchange {
	return ctx.Value(exchangeKey{}).(*exchange)
}

// authorized returns a handler that runs next for callers with the key of a workspace and refuses others.
func (h *handler) authorized(next func(*exchange)) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r.Context())
		// The mux passes its own request, which has the path's wildcard values.
		x.request = r
		if err := x.authorize(); err != nil {
			x.refuse(err)
			return
		}
		next(x)
	}
}

func (x *exchange) authorize() error {
	snapshot, err := x.handler.Snapshots.Current()
	if err != nil {
		return x.earlyRefusal(err)
	}
	key, ok := bearer(x.request)
	if !ok {
		return unauthorized()
	}
	w, ok := x.handler.keys.of(snapshot).workspace(key)
	if !ok {
		return unauthorized()
	}
	x.snapshot = snapshot
	x.workspace = w
	return nil
}

// enter counts the request as running in its workspace and returns the function to call at its end.
func (x *exchange) enter(r rules.Rules) (func(), error) {
	w := x.workspace.Name
	if !x.handler.running.acquire(w, r.MaxInFlight) {
		return nil, x.earlyRefusal(verdict.New(verdict.NotRun, http.StatusTooManyRequests, "too-many-in-flight",
			"the workspace has %d requests running at this entry", r.MaxInFlight).WithRetryAfter(time.Second))
	}
	return func() { x.handler.running.release(w) }, nil
}

// earlyRefusal returns the refusal of a request that was not examined further. For a
// call with an Idempotency-Key the verdict is not not-run: an earlier send under
// the key may have run, and after not-run its caller could have the work done a
// second time by other means.
func (x *exchange) earlyRefusal(err error) error {
	e, ok := verdict.As(err)
	if !ok || !isKeyed(x.request) {
		return err
	}
	return e.WithVerdict(verdict.MayHaveRun)
}

// body reads the whole body, of at most limit bytes.
func (x *exchange) body(limit int64) ([]byte, error) {
	b, err := inbound.ReadBody(x.writer, x.request, limit, time.Now().Add(x.handler.Bounds.BodyTimeout))
	x.bodyRead = true
	switch {
	case err == nil:
		return b, nil
	case errors.Is(err, inbound.ErrTooLarge):
		return nil, tooLarge(limit)
	case errors.Is(err, inbound.ErrTimeout):
		return nil, verdict.New(verdict.NotRun, http.StatusRequestTimeout, "body-timeout", "the body did not arrive in time").WithCause(err)
	case errors.Is(err, inbound.ErrNoMemory):
		return nil, x.earlyRefusal(noMemory(err))
	case errors.Is(err, inbound.ErrInterrupted):
		return nil, x.earlyRefusal(stopping())
	}
	return nil, verdict.New(verdict.NotRun, http.StatusBadRequest, "body-incomplete", "the body did not arrive whole").WithCause(err)
}

// reserve reserves memory for what is made of a body. Short ones are part of what a connection takes.
func (x *exchange) reserve(n int64) error {
	if n <= promptFactor*inbound.FreeBodyBytes {
		return nil
	}
	err := inbound.Reserve(x.request.Context(), n)
	if errors.Is(err, inbound.ErrTooLarge) {
		return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large for the memory of this entry").WithCause(err)
	}
	if err != nil {
		return x.earlyRefusal(noMemory(err))
	}
	return nil
}

// charge counts an answer until its caller has taken it.
func (x *exchange) charge(n int) {
	if n > inbound.FreeBodyBytes {
		inbound.Charge(x.request.Context(), int64(n))
	}
}

// refuse answers with an error.
func (x *exchange) refuse(err error) {
	e := asError(err)
	if !x.bodyRead {
		inbound.RefuseBody(x.writer, x.request)
	}
	h := x.writer.Header()
	h.Set(verdict.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		h.Set(headerRetryAfter, retrySeconds(e.RetryAfter))
	}
	x.json(e.Status, newErrorBody(e))
	f := x.fields()
	f["status"] = e.Status
	f["code"] = e.Code
	f["verdict"] = e.Verdict.String()
	if e.Cause != nil {
		f["cause"] = e.Cause.Error()
	}
	event.CallerRefused.Write(x.handler.Logger, f)
}

// served logs an answered request.
func (x *exchange) served(status int) {
	f := x.fields()
	f["status"] = status
	event.RequestServed.Write(x.handler.Logger, f)
}

func (x *exchange) fields() log.Fields {
	return log.Fields{"request": x.id, "workspace": x.workspace.Name, "path": x.request.URL.Path}
}

func (x *exchange) json(status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte("{}")
	}
	h := x.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	x.extendWrite()
	x.charge(len(b))
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write(b)
}

// extendWrite moves the write deadline to WriteTimeout from now.
func (x *exchange) extendWrite() {
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Now().Add(x.handler.WriteTimeout))
}

// release flushes the answer and removes the write deadline from the connection.
// An old deadline would fail a later answer on the same connection, from this
// handler or another one of the server, and the caller would lose that answer.
func (x *exchange) release() {
	control := http.NewResponseController(x.writer)
	_ = control.Flush()
	_ = control.SetWriteDeadline(time.Time{})
}

// retrySeconds returns d in whole seconds, rounded up.
func retrySeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
