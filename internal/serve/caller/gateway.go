package caller

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/node/inbound"
	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/site/document"
)

// defaultCallerTimeout is the timeout of a request whose caller does not state one.
const defaultCallerTimeout = 60 * time.Second

// documentWait is how long a request waits for the first document: an election and a poll.
const documentWait = 1200 * time.Millisecond

// writeGrace is how long after its deadline the rest of a response may take to be written.
const writeGrace = 3 * time.Second

// retryMemory is the retry time of a caller for whose body no memory is free: clients that make no progress are
// evicted by then.
const retryMemory = time.Second

const (
	// partBytes is what a part of a prompt takes until its request ends, and freeParts is how many are part of what a connection
	// takes by itself.
	partBytes = 128
	freeParts = 64
)

// isolated is the reason of a refusal while the entry reaches no server.
const isolated = "isolated"

type gateway struct {
	Config
	metrics *requestMetrics
	steps   *steps
	// expected estimates how long the requests of each route take.
	expected *expectedTimes
	// held counts the bytes of the answers that are held for callers of HTTP/1.0.
	held atomic.Int64
}

// New returns the handler of callers' requests.
func New(c Config) http.Handler {
	return &gateway{Config: c, metrics: newRequestMetrics(c.Metrics), steps: newSteps(), expected: newExpectedTimes()}
}

// ServeHTTP implements http.Handler.
func (g *gateway) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	j := &job{gateway: g, writer: w, arrived: time.Now(), protocol: q.Proto, unread: q}
	if !q.ProtoAtLeast(1, 1) {
		j.held = &heldWriter{ResponseWriter: w, method: q.Method, total: &g.held, reserve: func(n int64) bool { return inbound.TryReserve(q.Context(), n) }}
		j.writer = j.held
	}
	if g.Closing() {
		w.Header().Set("Connection", "close")
	}
	defer j.end()
	if !j.admit(q) {
		return
	}
	ctx := q.Context()
	if !j.route.Retryable() && j.route.Kind != document.Streaming {
		// The request may run only once. If it were stopped half-way, it would be unknown whether it
		// ran.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := g.untilEnding(ctx)
	defer cancel()
	j.serve(ctx, q.Context())
}

// admit decodes the request and finds its route and workspace. It responds to requests that
// cannot be served.
func (j *job) admit(q *http.Request) bool {
	r, err := j.Codec.Decode(q)
	if err != nil {
		return j.reject(http.StatusBadRequest, "malformed", 0)
	}
	r.Arrived = j.arrived
	j.request = r
	if j.Refusing(0) {
		return j.reject(http.StatusServiceUnavailable, stopping, retrySoon)
	}
	if j.held != nil && j.gateway.held.Load() > maxHeldTogetherBytes-maxHeldBytes {
		return j.reject(http.StatusServiceUnavailable, tooManyHeld, retrySoon)
	}
	table := j.table(q.Context())
	if table == nil {
		return j.reject(http.StatusServiceUnavailable, "no-document", retrySoon)
	}
	j.document, j.revision = table, table.Document().Revision
	if most := table.Document().Limits.HeaderBytes; most > 0 && headerBytes(q) > most {
		return j.reject(http.StatusRequestHeaderFieldsTooLarge, "headers-too-large", 0)
	}
	host, _, _ := strings.Cut(r.Host, ":")
	route, ok := table.Route(host, r.Path())
	if !ok {
		return j.reject(http.StatusNotFound, "no-route", 0)
	}
	j.route = route
	if !j.authorize(table) {
		return j.reject(http.StatusUnauthorized, "unknown-key", 0)
	}
	if route.Prompts && r.Unreadable != "" {
		// Its parts can't be examined.
		return j.reject(http.StatusBadRequest, "malformed-prompt: "+r.Unreadable, 0)
	}
	if j.Isolated() && !j.Trial() {
		return j.reject(http.StatusServiceUnavailable, isolated, retrySoon)
	}
	if p := r.Prompt; p != nil && len(p.Parts) > freeParts && !inbound.TryReserve(q.Context(), partBytes*int64(len(p.Parts)-freeParts)) {
		return j.reject(http.StatusServiceUnavailable, "no-memory", retryMemory)
	}
	j.service, _ = table.Service(route.ServiceAt(randomFraction()))
	timeout := defaultCallerTimeout
	if r.CallerTimeout > 0 {
		timeout = r.CallerTimeout
	}
	j.deadline = j.arrived.Add(min(timeout, route.Timeout))
	if !j.fitsBeforeEnd() {
		return false
	}
	return j.readBody(q, table.Document().Limits)
}

// headerBytes returns the size of the request's headers on the wire.
func headerBytes(q *http.Request) int {
	const lineEnd, separator = len("\r\n"), len(": ")
	n := len(q.Method) + len(" ") + len(q.RequestURI) + len(" HTTP/1.1") + lineEnd
	n += len("Host: ") + len(q.Host) + lineEnd
	for name, values := range q.Header {
		for _, v := range values {
			n += len(name) + separator + len(v) + lineEnd
		}
	}
	return n + lineEnd
}

// table returns the document in force; a process that has just started waits for it for a
// short time.
//
// After a power loss entries are back some tenths of a second before the control log has a
// leader. Callers that are refused then retry later than necessary, and many only once.
func (j *job) table(ctx context.Context) document.Table {
	if t := j.Site.Table(); t != nil {
		return t
	}
	wait := documentWait
	if timeout := j.request.CallerTimeout; timeout > 0 {
		wait = min(wait, timeout/4)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	j.Site.AwaitDocument(ctx)
	return j.Site.Table()
}

// authorize finds the workspace that has the caller's key.
func (j *job) authorize(table document.Table) bool {
	if len(table.Document().Workspaces) == 0 {
		return true
	}
	w, ok := table.Workspace(j.request.Key)
	if ok {
		j.workspace = w
	}
	return ok || j.route.Public
}

// readBody reads the body of the request. The response to one that doesn't arrive whole is a promise that the request has not
// run.
func (j *job) readBody(q *http.Request, l document.Limits) bool {
	limit := int64(math.MaxInt64)
	if l.BodyBytes > 0 {
		limit = int64(l.BodyBytes)
	}
	b, err := inbound.ReadBody(j.writer, q, limit, j.deadline)
	j.unread = nil
	switch {
	case err == nil:
		j.request.Body = b
		return true
	case errors.Is(err, inbound.ErrTooLarge):
		return j.reject(http.StatusRequestEntityTooLarge, "body-too-large", 0)
	case errors.Is(err, inbound.ErrTimeout):
		return j.reject(http.StatusRequestTimeout, "body-timeout", 0)
	case errors.Is(err, inbound.ErrNoMemory):
		return j.reject(http.StatusServiceUnavailable, "no-memory", retryMemory)
	case errors.Is(err, inbound.ErrInterrupted):
		return j.reject(http.StatusServiceUnavailable, stopping, retrySoon)
	}
	// The caller disconnected during its request; there is no one to respond to.
	j.reason = "caller-broke-off"
	panic(http.ErrAbortHandler)
}

// urgency returns the priority of the request; the workspace's takes precedence over the
// route's.
func (j *job) urgency() int {
	p := j.route.Priority
	if j.workspace.Priority != nil {
		p = *j.workspace.Priority
	}
	return max(0, min(p, maxUrgency))
}

// maxUrgency is the least urgent priority that engines know.
const maxUrgency = 9

// dispatch returns what is sent to every server.
func (j *job) dispatch(now time.Time) request.Dispatch {
	return request.Dispatch{
		Remaining: j.deadline.Sub(now),
		Workspace: j.workspace.Name,
		Urgency:   -1,
		LastEvent: j.lastEvent(),
	}
}
