package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/site/document"
)

// defaultPatience bounds a request whose caller doesn't say how long it waits.
const defaultPatience = 60 * time.Second

// documentWait is how long a request waits for the first document: an election and a poll.
const documentWait = 1200 * time.Millisecond

// writeSlack is how long after its deadline the rest of an answer may take to leave.
const writeSlack = 3 * time.Second

type gateway struct {
	Config
	meters *meters
}

// New returns the handler of callers' requests.
func New(c Config) http.Handler {
	return &gateway{Config: c, meters: newMeters(c.Metrics)}
}

// ServeHTTP implements http.Handler.
func (g *gateway) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	j := &job{gateway: g, writer: w, arrived: time.Now()}
	if g.Stopping() {
		w.Header().Set("Connection", "close")
	}
	defer j.end()
	if !j.admit(q) {
		return
	}
	ctx := q.Context()
	if !j.route.Repeatable() && j.route.Kind != document.Streaming {
		// It may run once: stopped half-way, nobody could say whether it did.
		ctx = context.WithoutCancel(ctx)
	}
	j.serve(ctx, q.Context())
}

// admit decodes the request and finds its route and workspace; it answers what can't be served.
func (j *job) admit(q *http.Request) bool {
	r, err := j.Codec.Decode(q)
	if err != nil {
		return j.reject(http.StatusBadRequest, "malformed", 0)
	}
	r.Arrived = j.arrived
	j.request = r
	if j.Refusing() {
		return j.reject(http.StatusServiceUnavailable, "stopping", retrySoon)
	}
	table := j.table(q.Context())
	if table == nil {
		return j.reject(http.StatusServiceUnavailable, "no-document", retrySoon)
	}
	j.number = table.Document().Revision
	if most := table.Document().Limits.HeaderBytes; most > 0 && headerBytes(q) > most {
		return j.reject(http.StatusRequestHeaderFieldsTooLarge, "headers-too-large", 0)
	}
	host, _, _ := strings.Cut(r.Host, ":")
	route, ok := table.Route(host, r.Path())
	if !ok {
		return j.reject(http.StatusNotFound, "no-route", 0)
	}
	j.route = route
	if !j.allow(table) {
		return j.reject(http.StatusUnauthorized, "unknown-key", 0)
	}
	j.service, _ = table.Service(route.ServiceAt(fraction()))
	patience := defaultPatience
	if r.CallerTimeout > 0 {
		patience = r.CallerTimeout
	}
	j.deadline = j.arrived.Add(min(patience, route.Timeout))
	return j.readBody(q, table.Document().Limits)
}

// headerBytes returns how long the request's head was on the wire.
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

// table returns the document in force; a process that has just started waits for it a moment.
//
// After a loss of power entries are back before the control log has a leader,
// some tenths of a second. Callers that are refused then come back later than
// they need, and many only once.
func (j *job) table(ctx context.Context) document.Table {
	if t := j.Site.Table(); t != nil {
		return t
	}
	wait := documentWait
	if p := j.request.CallerTimeout; p > 0 {
		wait = min(wait, p/4)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	j.Site.AwaitDocument(ctx)
	return j.Site.Table()
}

// allow finds the workspace that holds the caller's key.
func (j *job) allow(table document.Table) bool {
	if len(table.Document().Workspaces) == 0 {
		return true
	}
	w, ok := table.Workspace(j.request.Key)
	if ok {
		j.workspace = w
	}
	return ok || j.route.Public
}

func (j *job) readBody(q *http.Request, l document.Limits) bool {
	if q.Body == nil || q.Body == http.NoBody {
		return true
	}
	body := io.Reader(q.Body)
	if l.BodyBytes > 0 {
		if q.ContentLength > int64(l.BodyBytes) {
			return j.reject(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		}
		body = http.MaxBytesReader(j.writer, q.Body, int64(l.BodyBytes))
	}
	b, err := readAll(body, q.ContentLength)
	if err == nil {
		j.request.Body = b
		return true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return j.reject(http.StatusRequestEntityTooLarge, "body-too-large", 0)
	}
	// The caller went away in the middle of its request; there is nobody to answer.
	j.reason = "caller-broke-off"
	panic(http.ErrAbortHandler)
}

// readAll reads a body whose length is known in most cases.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(r)
	}
	const most = 16 << 20
	if length > most {
		return io.ReadAll(r)
	}
	b := make([]byte, length)
	_, err := io.ReadFull(r, b)
	return b, err
}

// urgency returns the rank of the request: the workspace's goes before the route's.
func (j *job) urgency() int {
	p := j.route.Priority
	if j.workspace.Priority != nil {
		p = *j.workspace.Priority
	}
	return max(0, min(p, maxUrgency))
}

// maxUrgency is the least urgent rank that engines know.
const maxUrgency = 9

// dispatch returns what every server is told.
func (j *job) dispatch(now time.Time) request.Dispatch {
	return request.Dispatch{
		Remaining: j.deadline.Sub(now),
		Workspace: j.workspace.Name,
		Urgency:   -1,
		LastEvent: j.resumeAt(),
	}
}
