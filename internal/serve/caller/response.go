package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/inbound"
	"hornbeamwood/internal/policy/backoff"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/site/document"
)

// maxBufferedBytes is the largest response that is buffered completely before it is forwarded,
// so that one that breaks off can be retried elsewhere. Responses of plain services are a few
// kilobytes.
const maxBufferedBytes = 256 << 10

// freeAnswerBytes is the size of answers for which no memory is reserved.
const freeAnswerBytes = 8 << 10

// drainTimeout bounds the time for the rest of a response that isn't forwarded.
const drainTimeout = 50 * time.Millisecond

// unprovedEnd is the reason of an attempt whose response may have ended because its server was killed.
const unprovedEnd = "unproved-end"

// response is a server's complete response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// forwardResponse reads a server's response and forwards it. It returns false if another
// server may be tried.
func (j *job) forwardResponse(ctx context.Context, c choice, a *observe.Attempt, x *backend.Exchange) (bool, string) {
	answer := j.Codec.Answer(x.Response.Header)
	j.framing = x.Framing()
	j.recordServerState(c, answer)
	if ownResponse(x.Response.StatusCode, answer) {
		j.Tracker.EndSilence(a, time.Now())
		j.recordAvailability(a, x.Response.StatusCode, answer)
		j.observeBrittle(c.server, a, x.Response.StatusCode, answer)
	}
	if answer.NotRun || x.Response.StatusCode == http.StatusMisdirectedRequest {
		return false, j.recordRejection(a, x, answer)
	}
	j.recordRun()
	if reason := invalidReason(x.Response, answer); reason != "" {
		return false, j.recordBroken(a, x, reason, nil)
	}
	if !j.route.Retryable() && promisesNotRun(x.Response.StatusCode) {
		// The server has made no such promise. Its caller would repeat a request that has run.
		drain(x)
		return false, j.recordServerFailure(a, x)
	}
	if j.route.Kind == document.Streaming && x.Response.StatusCode < http.StatusMultipleChoices {
		return j.forwardStream(ctx, a, x)
	}
	if j.streamed.started {
		// The caller has the head of a successful response.
		drain(x)
		return false, j.recordServerFailure(a, x)
	}
	return j.bufferResponse(ctx, a, x)
}

// recordServerState records what the response headers state about the server.
func (j *job) recordServerState(c choice, answer request.Answer) {
	now := time.Now()
	if l := answer.Load; l != nil {
		j.Tracker.Report(c.server.ID, l.Running, l.Waiting, l.Slots, now)
	}
	if answer.Version != 0 && j.request.Prompt != nil {
		j.Site.ObserveVersion(c.server.ID, j.request.Prompt.Model, answer.Version)
	}
}

// ownResponse returns whether a response comes from the server that the request was sent to. Any
// other server that has the address by now answers as misdirected, and bytes that are no response to
// the attempt don't name it.
func ownResponse(status int, answer request.Answer) bool {
	return status != http.StatusMisdirectedRequest && (answer.Stamped || answer.NotRun || answer.Attempt != "")
}

// recordAvailability records whether the server leaves, the limit that it announces and the backoff that
// it asks for, or that it has none.
func (j *job) recordAvailability(a *observe.Attempt, status int, answer request.Answer) {
	if answer.Leaving {
		j.Site.ObserveLeaving(a.Server, a.Incarnation)
	}
	now := time.Now()
	j.Limits.Observe(a.Server, answer.Limit, a.SentAt, now)
	if backoff.Refuses(status) && answer.RetryAfter > 0 {
		j.recordBackoff(a.Server, answer.RetryAfter, now)
		if a.Via != "" {
			j.ReportBackoff(a.Via, a.Server, answer.RetryAfter)
		}
		return
	}
	if j.Backoffs.Accept(a.Server, a.SentAt) {
		event.ServerBackoff.Write(j.Logger, log.Fields{"server": a.Server, "backoff-ms": 0})
		j.Queue.LocalCapacityFreed()
	}
}

// recordBackoff records that the server requested a backoff, and wakes requests that wait for it afterwards.
func (j *job) recordBackoff(server string, d time.Duration, now time.Time) {
	if j.Backoffs.Request(server, d, now) {
		event.ServerBackoff.Write(j.Logger, log.Fields{"server": server, "backoff-ms": d.Milliseconds()})
	}
	time.AfterFunc(j.Backoffs.Wait(server, now), j.Queue.LocalCapacityFreed)
}

// invalidReason returns why a successful response cannot be forwarded, empty if it can.
func invalidReason(r *http.Response, answer request.Answer) string {
	switch {
	case r.StatusCode >= http.StatusMultipleChoices:
		return ""
	case !answer.Stamped:
		return "no-stamp"
	case r.Header.Get("Content-Encoding") != "":
		return "encoded"
	}
	return ""
}

// recordRejection records that the server guarantees not to have run the request.
func (j *job) recordRejection(a *observe.Attempt, x *backend.Exchange, answer request.Answer) string {
	drain(x)
	o := observe.Rejected
	if x.Response.StatusCode == http.StatusMisdirectedRequest {
		o = observe.Misdirected
	}
	j.endAttempt(a, o)
	reason := "rejected-" + strconv.Itoa(x.Response.StatusCode)
	j.logFailure(a.Server, reason, verdict.NotRun, x.Silence(), nil)
	return reason
}

// promisesNotRun returns whether callers take a status as the promise that the request has not run and never will,
// whoever sent it first.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// drain reads the rest of a short response, so that its connection can be reused. The request doesn't wait for a
// rest that hasn't been sent with the head.
func drain(x *backend.Exchange) {
	x.EndBy(time.Now().Add(drainTimeout))
	const most = 16 << 10
	if _, err := io.CopyN(io.Discard, x, most); errors.Is(err, io.EOF) {
		x.Close()
		return
	}
	x.Abort()
}

// recordBroken records a response that cannot be forwarded.
func (j *job) recordBroken(a *observe.Attempt, x *backend.Exchange, reason string, err error) string {
	x.Abort()
	o := observe.Lost
	gone := errors.Is(err, backend.ErrGone)
	// It isn't known whether the server lives.
	unknown := errors.Is(err, backend.ErrUnproved) && !gone
	switch {
	case gone:
		o = observe.Refused
	case unknown || backend.PathLost(err) || j.hangs(a, time.Now().Add(-x.Silence())):
		o = observe.NoPath
	}
	j.endAttempt(a, o)
	if !unknown {
		j.recordLostServer(a, err)
	}
	j.logFailure(a.Server, reason, j.verdict, x.Silence(), err)
	return reason
}

// bufferResponse reads a complete response before the caller gets a byte of it.
func (j *job) bufferResponse(ctx context.Context, a *observe.Attempt, x *backend.Exchange) (bool, string) {
	if x.Response.ContentLength > maxBufferedBytes || !j.reserveAnswer(ctx, x.Response.ContentLength) {
		return j.forwardLarge(ctx, a, x, nil)
	}
	var body bytes.Buffer
	n, err := body.ReadFrom(io.LimitReader(x, maxBufferedBytes+1))
	switch {
	case err != nil:
		return false, j.recordInterruption(ctx, a, x, "broke-off", err)
	case n > maxBufferedBytes:
		return j.forwardLarge(ctx, a, x, body.Bytes())
	}
	if err := j.prove(ctx, x); err != nil {
		return false, j.recordInterruption(ctx, a, x, unprovedEnd, err)
	}
	x.Close()
	j.recordAnswered()
	got := &response{status: x.Response.StatusCode, header: x.Response.Header, body: body.Bytes()}
	if got.status >= http.StatusInternalServerError {
		j.serverFailure = got
		return false, j.recordServerFailure(a, x)
	}
	j.endServed(a, x)
	j.deliver(got)
	return true, ""
}

// reserveAnswer reserves memory for an answer of that length, negative if it isn't known. Callers may take long to read their
// answers, or never do.
func (j *job) reserveAnswer(ctx context.Context, length int64) bool {
	if length < 0 {
		length = maxBufferedBytes
	}
	n := length - freeAnswerBytes - j.reserved
	if n > 0 {
		if !inbound.TryReserve(ctx, n) {
			return false
		}
		j.reserved += n
	}
	return true
}

// prove returns an error unless the end of the response is proved. The server's part has ended before.
func (j *job) prove(ctx context.Context, x *backend.Exchange) error {
	j.leave()
	err := x.Prove(ctx)
	if x.Framing() == backend.ByConnection {
		j.metrics.observeEnd(err)
	}
	return err
}

// endServed records that the server has sent a complete response, and when.
func (j *job) endServed(a *observe.Attempt, x *backend.Exchange) {
	j.Tracker.End(a, observe.Served, time.Now().Add(-x.Silence()))
	j.leave()
}

// recordServerFailure records that the server responded with a failure of its own.
func (j *job) recordServerFailure(a *observe.Attempt, x *backend.Exchange) string {
	j.endAttempt(a, observe.Failed)
	reason := "answered-" + strconv.Itoa(x.Response.StatusCode)
	j.logFailure(a.Server, reason, verdict.Ran, x.Silence(), nil)
	return reason
}

// deliver forwards a complete response.
func (j *job) deliver(got *response) {
	copyHeader(j.writer.Header(), got.header)
	if j.request.Method != http.MethodHead {
		j.writer.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	}
	j.status = got.status
	j.writer.WriteHeader(got.status)
	// The caller may have disconnected; there is no one else to report to.
	_, _ = j.writer.Write(got.body)
}

// forwardLarge forwards a large response while it arrives, after what has been read of it.
// Once it has begun, no other server can continue it.
func (j *job) forwardLarge(ctx context.Context, a *observe.Attempt, x *backend.Exchange, begun []byte) (bool, string) {
	copyHeader(j.writer.Header(), x.Response.Header)
	if x.Response.ContentLength >= 0 {
		j.writer.Header().Set("Content-Length", strconv.FormatInt(x.Response.ContentLength, 10))
	}
	j.status = x.Response.StatusCode
	j.writer.WriteHeader(j.status)
	x.CheckAt(time.Time{})
	_, err := io.Copy(callerWriter{j.writer}, io.MultiReader(bytes.NewReader(begun), x))
	if err != nil {
		j.reason = j.recordInterruption(ctx, a, x, "broke-off", err)
		panic(http.ErrAbortHandler)
	}
	if err := j.prove(ctx, x); err != nil {
		j.reason = j.recordInterruption(ctx, a, x, unprovedEnd, err)
		panic(http.ErrAbortHandler)
	}
	x.Close()
	j.recordAnswered()
	j.endServed(a, x)
	return true, ""
}

// callerWriter writes to the caller. Its errors differ from those of the server.
type callerWriter struct{ io.Writer }

// Write implements io.Writer.
func (w callerWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	if err != nil {
		err = errCallerGone
	}
	return n, err
}

// hopByHopHeaders apply to one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// copyHeader copies the headers of the response and keeps the library from adding its own.
func copyHeader(to, from http.Header) {
	closing := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopByHopHeaders {
		delete(to, name)
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := to[name]; !ok {
			to[name] = nil
		}
	}
	if closing != "" {
		to.Set("Connection", closing)
	}
}
