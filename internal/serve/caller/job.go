package caller

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
)

const (
	// retrySoon is when a caller may come back after a refusal that passes in a moment, as a start or a full pool of connections.
	retrySoon = 250 * time.Millisecond
	// maxTries bounds the servers that a request is offered to, those that refused it included.
	maxTries = 4
	// leastLeft is how much time must be left for another try to make sense: a way there and back between availability zones.
	leastLeft = 15 * time.Millisecond
	// connectionShare is the part of a server's connections that all entries together use; the rest is for entries that are not counted yet.
	connectionShare = 0.85
	// leastConnections is what an entry may have to a server in any case.
	leastConnections = 4
)

// job is one request on its way.
type job struct {
	*gateway
	writer   http.ResponseWriter
	arrived  time.Time
	deadline time.Time

	request   request.Request
	route     document.Route
	workspace document.Workspace
	service   document.Service
	number    int64

	tried []string
	// runs counts the servers that may have run the request, repeats the sends beyond the first.
	runs, sends int
	// verdict is what is known of the request as a whole.
	verdict verdict.Verdict
	// kept is a failure that a server answered, passed on if nothing better comes.
	kept *answer
	// events is the state of a stream that is passed on.
	events relay

	// refusal is why no server was tried, and clear when there will be room; both for callers that are refused.
	refusal string
	clear   time.Duration

	status int
	reason string
}

func fraction() float64 {
	return rand.Float64()
}

// serve tries servers until the caller has its final answer. ctx ends what may
// be stopped when the caller leaves; gone ends when it has left.
func (j *job) serve(ctx, gone context.Context) {
	j.verdict = verdict.NotRun
	j.Budget.RecordRequest(j.service.Name, j.arrived)
	// A caller that stops reading would hold the handler and its memory for ever.
	_ = http.NewResponseController(j.writer).SetWriteDeadline(j.deadline.Add(writeSlack))
	for {
		if gone.Err() != nil {
			j.abandon()
			return
		}
		j.Site.AwaitFreshState(ctx)
		c, ok := j.choose(ctx)
		if gone.Err() != nil {
			if c.taken {
				j.Limits.Return(c.server.ID, time.Now())
			}
			j.abandon()
			return
		}
		if !ok {
			j.giveUp(cmp.Or(j.refusal, noServer))
			return
		}
		if !c.taken && !j.spend(c.server.ID) {
			continue
		}
		done, reason := j.try(ctx, c)
		if done {
			return
		}
		if ctx.Err() != nil {
			j.abandon()
			return
		}
		if !j.again() {
			j.giveUp(reason)
			return
		}
	}
}

// spend takes the request from the server's limit; another one may have taken the
// last since the server was chosen.
func (j *job) spend(server string) bool {
	_, ok := j.Limits.Take(server, 0, time.Now())
	return ok
}

// again returns whether another server may be tried.
//
// What may run once is sent on only after the word that it hasn't run, or when
// no byte of it left. Each further send that reaches a server is paid from the
// fleet's budget: repeats of many callers at once would otherwise finish off
// the servers that are left.
func (j *job) again() bool {
	switch {
	case time.Until(j.deadline) < leastLeft || len(j.tried) >= maxTries:
		return false
	case j.runs >= max(1, j.route.MaxAttempts):
		return false
	case j.verdict != verdict.NotRun && !j.route.Repeatable():
		return false
	case j.sends == 0:
		return true
	}
	return j.Budget.Spend(j.service.Name, time.Now())
}

// choice is a server with what is sent to it.
type choice struct {
	server   directory.Server
	dispatch request.Dispatch
	attempt  observe.Attempt
	fields   log.Fields
	// fits says that the server has room for the request, free how many tokens are free at all that have.
	fits bool
	free int
	// taken says that the request is spent from the server's limit already.
	taken bool
	// prepare, if any, completes the dispatch right before it is sent.
	prepare func(*request.Dispatch)
	// noted, if any, is called when the request is sent.
	noted func()
	// describe, if any, adds to the log line what takes time to find out.
	describe func(log.Fields)
}

func (j *job) choose(ctx context.Context) (choice, bool) {
	j.awaitServers(ctx)
	if j.route.Prompts && j.request.Prompt != nil && j.service.Engine != nil {
		return j.awaitEngine(ctx, *j.service.Engine)
	}
	return j.choosePlain(ctx)
}

// awaitServers lets a request wait for the first server of its service, in a
// process that has just started: servers announce themselves about once a second,
// and whoever is refused meanwhile comes back later than that.
func (j *job) awaitServers(ctx context.Context) {
	if len(j.Site.Servers(j.service.Name)) > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Until(j.deadline)/2)
	defer cancel()
	j.Site.AwaitServers(ctx, j.service.Name)
}

// try sends the request to a server and passes its answer on; it returns false when another server may be tried.
func (j *job) try(ctx context.Context, c choice) (bool, string) {
	now := time.Now()
	j.tried = append(j.tried, c.server.ID)
	c.dispatch.Server = c.server.ID
	c.dispatch.Remaining = j.deadline.Sub(now)
	c.fields["request"], c.fields["server"], c.fields["try"] = j.request.Attempt, c.server.ID, len(j.tried)
	c.fields["document"] = j.number
	if c.describe != nil {
		c.describe(c.fields)
	}
	event.AttemptRouted.Write(j.Logger, c.fields)
	c.attempt.Server, c.attempt.SentAt = c.server.ID, now
	a := j.Tracker.Begin(c.attempt)
	if c.prepare != nil {
		c.prepare(&c.dispatch)
	}
	if c.noted != nil {
		c.noted()
	}
	x, err := j.Client.Send(ctx, j.target(c.server), j.request.Attempt, j.message(c.dispatch), j.patience(now))
	if err != nil {
		return false, j.failed(a, err)
	}
	j.sends++
	return j.pass(ctx, c, a, x)
}

func (j *job) target(s directory.Server) backend.Target {
	t := backend.Target{ID: s.ID, Born: s.StartedAt, Address: s.Address}
	if m := j.service.MaxConnections; m > 0 {
		t.MaxConnections = max(leastConnections, int(connectionShare*float64(m))/max(1, j.Site.Entries()))
	}
	return t
}

func (j *job) message(d request.Dispatch) backend.Message {
	h := j.request.Header.Clone()
	j.Codec.Encode(h, d)
	return backend.Message{Method: j.request.Method, Target: j.request.Target, Host: j.request.Host, Header: h, Body: j.request.Body}
}

// failed counts an attempt that brought no answer and returns the reason.
func (j *job) failed(a *observe.Attempt, err error) string {
	reason, v := "failed", verdict.MayHaveRun
	var e *backend.Error
	if errors.As(err, &e) {
		reason, v = string(e.Reason), e.Verdict
	}
	o := observe.Lost
	switch {
	case e != nil && e.Reason == backend.Cancelled:
		o = observe.Abandoned
	case e != nil && e.Reason == backend.Saturated:
		o = observe.Rejected
	case e != nil && e.Reason == backend.Refused:
		o = observe.Refused
	case v == verdict.NotRun:
		o = observe.Unreachable
	}
	j.Tracker.End(a, o, time.Now())
	if v != verdict.NotRun {
		j.sends++
		j.mayHaveRun()
	}
	j.note(a.Server, reason, v, err)
	return reason
}

// mayHaveRun notes that a server may have run the request.
func (j *job) mayHaveRun() {
	j.runs++
	j.verdict = verdict.MayHaveRun
}

func (j *job) note(server, reason string, v verdict.Verdict, err error) {
	f := log.Fields{"request": j.request.Attempt, "server": server, "reason": reason, "verdict": v.String(), "ms": time.Since(j.arrived).Milliseconds()}
	if err != nil {
		f["error"] = err.Error()
	}
	event.AttemptFailed.Write(j.Logger, f)
}

// intended returns whether a panic ends the connection on purpose, as of a stream that can't be completed.
func intended(cause any) bool {
	err, ok := cause.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}

// defect answers a request whose handling panicked, and returns false when its
// answer has begun already.
//
// The standard server would close the connection and print a line without the
// request's name. The caller gets an answer that promises nothing instead, and
// the log says where the defect lies.
func (j *job) defect(cause any) bool {
	event.HandlerPanicked.Write(j.Logger, log.Fields{"request": j.request.Attempt, "error": fmt.Sprint(cause), "stack": string(debug.Stack())})
	if j.status != 0 {
		return false
	}
	j.refuse(http.StatusBadGateway, "defect", 0)
	return true
}

// end writes what became of the request.
func (j *job) end() {
	cause := recover()
	cut := cause != nil && (intended(cause) || !j.defect(cause))
	j.Queue.LocalCapacityFreed()
	took := time.Since(j.arrived)
	j.meters.ended(j.route.Kind, j.status, took)
	event.RequestEnded.Write(j.Logger, log.Fields{
		"request": j.request.Attempt, "route": j.route.Name, "status": j.status, "reason": j.reason, "verdict": j.verdict.String(),
		"tries": len(j.tried), "runs": j.runs, "ms": took.Milliseconds(), "workspace": j.workspace.Name, "document": j.number,
		"first-ms": j.events.firstMillis(j.arrived), "events": j.events.last, "longest-pause-ms": j.events.pause.Milliseconds(),
	})
	if cut {
		panic(http.ErrAbortHandler)
	}
}
