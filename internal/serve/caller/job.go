package caller

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/policy/suspicion"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
)

const (
	// retrySoon is the retry time after a refusal for a short-lived reason, such as a start or a
	// full connection pool.
	retrySoon = 250 * time.Millisecond
	// evacuationRetry is the retry time while all servers of a service are in evacuated zones. An
	// operator ends an evacuation; nothing tells when.
	evacuationRetry = 2 * time.Second
	// maxTries bounds the servers that a request is sent to, including those that refused it.
	maxTries = 4
	// minRemaining is the least remaining time for which another attempt is worthwhile: a round
	// trip between availability zones.
	minRemaining = 15 * time.Millisecond
	// connectionShare is the share of a server's connections that all entries together use; the
	// rest is for entries that are not counted yet.
	connectionShare = 0.85
	// minConnections is the minimum number of connections of an entry to a server.
	minConnections = 4
)

// job is the state of one request.
type job struct {
	*gateway
	writer http.ResponseWriter
	// held is the writer if the caller's version of HTTP has no chunks, nil otherwise.
	held     *heldWriter
	arrived  time.Time
	deadline time.Time
	// unread is the request until its body is read.
	unread *http.Request
	// reserved is the memory that is reserved for the answer.
	reserved int64

	request   request.Request
	route     document.Route
	workspace document.Workspace
	service   document.Service
	revision  int64
	// document is the one that was in force when the request arrived.
	document document.Table

	// tried are the servers that are left out of the choice, tries how many attempts there were.
	tried []string
	tries int
	// granted is set while a retry is granted by the budget and not sent. successor is the server
	// that is secured for it, if any.
	granted   bool
	successor *choice
	// reservedAt is when the last reservation was made.
	reservedAt time.Time
	// entered is the server at which the request is in flight, empty for none.
	entered string
	// left is set once an attempt was ended because its server was silent.
	left bool
	// runs counts the servers that may have run the request, sends the attempts that reached a
	// server.
	runs, sends int
	// verdict is what is known about whether the request ran.
	verdict verdict.Verdict
	// serverFailure is a failure response of a server, forwarded if no attempt succeeds.
	serverFailure *response
	// streamed is the state of a stream that is forwarded, begun how the stream began here or at an earlier
	// attempt, nil before its first event. server is the one that was tried last.
	streamed streamState
	begun    *begun
	server   directory.Server

	// shared is what the request has in common with others, nil before it is needed.
	shared *suspicion.Attributes

	// refusal is the reason why no server was tried, and clearAfter when capacity is expected;
	// both are for callers that are refused.
	refusal    string
	clearAfter time.Duration

	status int
	reason string
	// protocol is the caller's version of HTTP, framing what ends the body of the last response of a server.
	protocol, framing string
	// silence is how long the server of the last failed attempt had sent nothing.
	silence time.Duration
}

func randomFraction() float64 {
	return rand.Float64()
}

// serve tries servers until the caller has its final response. callerCtx ends when the
// caller has disconnected; ctx ends with it unless the request must not be stopped half-way.
func (j *job) serve(ctx, callerCtx context.Context) {
	j.verdict = verdict.NotRun
	j.Budget.RecordRequest(j.service.Name, j.arrived)
	// A caller that stops reading would hold the handler and its memory for ever.
	_ = http.NewResponseController(j.writer).SetWriteDeadline(j.deadline.Add(writeGrace))
	if !j.findOrigin(ctx) {
		j.giveUp(j.refusal)
		return
	}
	for {
		if callerCtx.Err() != nil {
			j.abandon()
			return
		}
		if ctx.Err() != nil {
			j.interrupt(ctx)
			return
		}
		j.Site.AwaitFreshState(ctx)
		if j.quarantined() {
			j.giveUp(j.refusal)
			return
		}
		c, ok := j.next(ctx)
		if callerCtx.Err() != nil {
			j.release(c)
			j.abandon()
			return
		}
		if !ok {
			switch {
			case j.Site.Withdrawn(j.service.Name):
				j.refusal, j.clearAfter = evacuated, evacuationRetry
			case j.begun != nil && !j.hasServer():
				j.refusal, j.clearAfter = noSoftware, softwareRetry
			case j.begun == nil && !j.hasServer() && len(j.Site.Servers(j.service.Name)) > 0:
				j.refusal, j.clearAfter = unrecorded, softwareRetry
			}
			if (j.streamed.started || j.refusal == "") && j.awaitSuccessor(ctx) {
				continue
			}
			j.giveUp(cmp.Or(j.refusal, noServer))
			return
		}
		if !c.reserved && !j.reserveNow(c.server.ID) {
			continue
		}
		if !j.enter(ctx, c.server) {
			continue
		}
		if j.quarantined() {
			// It was quarantined while it waited.
			j.leave()
			j.releaseServer(c.server.ID)
			j.giveUp(j.refusal)
			return
		}
		done, reason := j.try(ctx, c)
		if done {
			return
		}
		if ctx.Err() != nil {
			j.interrupt(ctx)
			return
		}
		if !j.mayRetry() && !j.awaitSuccessor(ctx) {
			j.giveUp(reason)
			return
		}
	}
}

// enter waits until the request may be in flight at a server for which it is reserved, or cancels the reservation.
// Meanwhile the server may have left, requested a backoff or rejected requests.
func (j *job) enter(ctx context.Context, s directory.Server) bool {
	if j.Limits.Enter(ctx, s.ID) {
		j.entered = s.ID
		if j.mayReceive(s, time.Now()) {
			return true
		}
		j.leave()
	}
	j.releaseServer(s.ID)
	return false
}

// leave records that the request isn't in flight at a server any more.
func (j *job) leave() {
	if j.entered != "" {
		j.Limits.Leave(j.entered, time.Now())
		j.entered = ""
	}
}

// endAttempt records how an attempt ended.
func (j *job) endAttempt(a *observe.Attempt, o observe.Outcome) {
	j.Tracker.End(a, o, time.Now())
	j.leave()
}

// release cancels the reservation of a choice that is not sent.
func (j *job) release(c choice) {
	if c.reserved {
		j.releaseServer(c.server.ID)
	}
}

// reserveNow reserves a request to the server. Another request may have reserved the last one since
// the server was chosen.
func (j *job) reserveNow(server string) bool {
	_, ok := j.reserveServer(server, 0, time.Now())
	return ok
}

// mayRetry returns whether another server may be tried.
//
// A request that may run only once is sent again only if the server guarantees that it did not
// run, or if no byte of it was sent. Each further attempt that reaches a server is charged to
// the fleet's retry budget, because retries of many callers at once would otherwise overload
// the remaining servers.
func (j *job) mayRetry() bool {
	switch {
	case j.streamed.unnumbered:
		return false
	case j.granted:
		return true
	case j.Isolated(), time.Until(j.deadline) < minRemaining || j.tries >= maxTries:
		return false
	case j.runs >= max(1, j.route.MaxAttempts):
		return false
	case j.verdict != verdict.NotRun && !j.route.Retryable():
		return false
	case j.sends == 0:
		return true
	}
	return j.spendRetry(time.Now())
}

// spendRetry spends a retry of the budget on the next attempt, once.
func (j *job) spendRetry(now time.Time) bool {
	j.granted = j.granted || j.Budget.Spend(j.service.Name, now)
	return j.granted
}

// choice is a selected server and what is sent to it.
type choice struct {
	server   directory.Server
	dispatch request.Dispatch
	attempt  observe.Attempt
	fields   log.Fields
	// fits is set if the server has capacity for the request. free is the number of free tokens at
	// all engines with capacity for it.
	fits bool
	free int
	// reserved is set if the request is already reserved in the server's limit.
	reserved bool
	// prepare, if set, completes the dispatch right before it is sent.
	prepare func(*request.Dispatch)
	// sent, if set, is called when the request is sent.
	sent func()
	// describe, if set, adds log fields that take time to determine.
	describe func(log.Fields)
}

func (j *job) choose(ctx context.Context) (choice, bool) {
	j.awaitServers(ctx)
	if j.queues() {
		return j.awaitEngine(ctx, *j.service.Engine)
	}
	return j.choosePlain(ctx)
}

// queues returns whether the request is a prompt for engines, which waits in the queue for capacity.
func (j *job) queues() bool {
	return j.route.Prompts && j.request.Prompt != nil && j.service.Engine != nil
}

// awaitServers lets a request wait for the first server of its service in a process that has
// just started, and for the record of a new server's software. Servers announce themselves about
// once a second, and a refused caller would retry later than that.
func (j *job) awaitServers(ctx context.Context) {
	if j.hasServer() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Until(j.deadline)/2)
	defer cancel()
	j.Site.AwaitServers(ctx, func() bool { return j.hasServer() || j.Site.Withdrawn(j.service.Name) })
	if j.begun == nil {
		j.Site.AwaitSoftware(ctx, j.service.Name, j.hasServer)
	}
}

// try sends the request to a server and forwards its response. It returns false if another
// server may be tried.
func (j *job) try(ctx context.Context, c choice) (bool, string) {
	// A caller that vanishes makes the attempt panic, and so does a defect.
	defer j.leave()
	now := time.Now()
	j.server = c.server
	j.tried = append(j.tried, c.server.ID)
	j.tries++
	j.granted = false
	c.dispatch.Server = c.server.ID
	c.dispatch.Remaining = j.deadline.Sub(now)
	c.fields["request"], c.fields["server"], c.fields["try"] = j.request.Attempt, c.server.ID, j.tries
	c.fields["document"], c.fields["software"] = j.revision, c.server.Software
	if n, resumes := c.dispatch.LastEvent.Event(); resumes {
		c.fields["after-event"], c.fields["first-attempt"] = n, j.request.FirstAttempt
	}
	if c.describe != nil {
		c.describe(c.fields)
	}
	event.AttemptRouted.Write(j.Logger, c.fields)
	c.attempt.Server, c.attempt.Incarnation, c.attempt.Address, c.attempt.SentAt = c.server.ID, c.server.StartedAt, c.server.Address, now
	a := j.Tracker.Begin(c.attempt)
	if c.prepare != nil {
		c.prepare(&c.dispatch)
	}
	if c.sent != nil {
		c.sent()
	}
	x, err := j.Client.Send(ctx, j.target(c.server), j.request.Attempt, j.message(c.dispatch), j.timing(a))
	if err != nil {
		return false, j.recordFailure(a, err)
	}
	j.sends++
	a.Via = x.Via()
	return j.forwardResponse(ctx, c, a, x)
}

func (j *job) target(s directory.Server) backend.Target {
	t := backend.Target{ID: s.ID, StartedAt: s.StartedAt, Address: s.Address, ProbePath: j.Codec.ProbePath(j.service)}
	if m := j.service.MaxConnections; m > 0 {
		t.MaxConnections = max(minConnections, int(connectionShare*float64(m))/max(1, j.Site.Entries()))
	}
	return t
}

func (j *job) message(d request.Dispatch) backend.Message {
	h := j.request.Header.Clone()
	j.Codec.Encode(h, d)
	return backend.Message{
		Method: j.request.Method, Target: j.request.Target, Host: j.request.Host, Header: h, Body: j.request.Body,
		MaySend: func() bool { return !j.quarantined() }, MayRepeat: j.mayRepeat(time.Now()),
	}
}
