package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/site/document"
)

// wholeBytes is the largest answer that is read whole before it is passed on,
// so that one that breaks off can be tried elsewhere. Answers of plain services
// are a few kilobytes.
const wholeBytes = 256 << 10

// answer is a server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// pass reads a server's answer and passes it on; it returns false when another server may be tried.
func (j *job) pass(ctx context.Context, c choice, a *observe.Attempt, x *backend.Exchange) (bool, string) {
	told := j.Codec.Answer(x.Response.Header)
	j.learn(c, told)
	j.learnLimit(a, x.Response.StatusCode, told)
	if told.NotRun || x.Response.StatusCode == http.StatusMisdirectedRequest {
		return false, j.rejected(a, x, told)
	}
	j.mayHaveRun()
	if reason := unfit(x.Response, told); reason != "" {
		return false, j.broken(a, x, reason, nil)
	}
	if j.route.Kind == document.Streaming && x.Response.StatusCode < http.StatusMultipleChoices {
		return j.stream(ctx, a, x)
	}
	return j.whole(a, x)
}

// learn takes what the answer's headers say of the server.
func (j *job) learn(c choice, told request.Answer) {
	now := time.Now()
	if l := told.Load; l != nil {
		j.Tracker.Report(c.server.ID, l.Running, l.Waiting, l.Slots, now)
	}
	if told.Version != 0 && j.request.Prompt != nil {
		j.Site.ObserveVersion(c.server.ID, j.request.Prompt.Model, told.Version)
	}
}

// learnLimit takes the limit that an answer names, or that it names none. An answer
// that doesn't bear the server's word may be another server's.
func (j *job) learnLimit(a *observe.Attempt, status int, told request.Answer) {
	if status == http.StatusMisdirectedRequest || !told.Stamped && !told.NotRun {
		return
	}
	j.Limits.Observe(a.Server, told.Limit, a.SentAt, time.Now())
}

// unfit returns why a success can't be passed on.
func unfit(r *http.Response, told request.Answer) string {
	switch {
	case r.StatusCode >= http.StatusMultipleChoices:
		return ""
	case !told.Stamped:
		return "no-stamp"
	case r.Header.Get("Content-Encoding") != "":
		return "encoded"
	}
	return ""
}

// rejected counts the server's word that it hasn't run the request.
func (j *job) rejected(a *observe.Attempt, x *backend.Exchange, told request.Answer) string {
	discard(x)
	o := observe.Rejected
	if x.Response.StatusCode == http.StatusMisdirectedRequest {
		o = observe.Misdirected
	}
	j.Tracker.End(a, o, time.Now())
	reason := "rejected-" + strconv.Itoa(x.Response.StatusCode)
	j.note(a.Server, reason, verdict.NotRun, nil)
	return reason
}

// discard reads the rest of a short answer, so that its connection can be used again.
func discard(x *backend.Exchange) {
	const most = 16 << 10
	if _, err := io.CopyN(io.Discard, x, most); errors.Is(err, io.EOF) {
		x.Close()
		return
	}
	x.Abort()
}

// broken counts an answer that can't be passed on.
func (j *job) broken(a *observe.Attempt, x *backend.Exchange, reason string, err error) string {
	x.Abort()
	j.Tracker.End(a, observe.Lost, time.Now())
	j.note(a.Server, reason, j.verdict, err)
	return reason
}

// whole reads an answer to its end before the caller gets a byte of it.
func (j *job) whole(a *observe.Attempt, x *backend.Exchange) (bool, string) {
	if x.Response.ContentLength > wholeBytes {
		return j.largeRest(a, x, nil)
	}
	var body bytes.Buffer
	n, err := body.ReadFrom(io.LimitReader(x, wholeBytes+1))
	switch {
	case err != nil:
		return false, j.broken(a, x, "broke-off", err)
	case n > wholeBytes:
		return j.largeRest(a, x, body.Bytes())
	}
	x.Close()
	got := &answer{status: x.Response.StatusCode, header: x.Response.Header, body: body.Bytes()}
	if got.status >= http.StatusInternalServerError {
		j.Tracker.End(a, observe.Failed, time.Now())
		j.kept = got
		reason := "answered-" + strconv.Itoa(got.status)
		j.note(a.Server, reason, verdict.Ran, nil)
		return false, reason
	}
	j.Tracker.End(a, observe.Served, time.Now())
	j.deliver(got)
	return true, ""
}

// deliver passes a whole answer on.
func (j *job) deliver(got *answer) {
	copyHeader(j.writer.Header(), got.header)
	j.writer.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	j.status = got.status
	j.writer.WriteHeader(got.status)
	// The caller may have left; there is nobody else to tell.
	_, _ = j.writer.Write(got.body)
}

// largeRest passes a long answer on while it comes, after what has been read of
// it; once it has begun, no other server can go on with it.
func (j *job) largeRest(a *observe.Attempt, x *backend.Exchange, begun []byte) (bool, string) {
	copyHeader(j.writer.Header(), x.Response.Header)
	if x.Response.ContentLength >= 0 {
		j.writer.Header().Set("Content-Length", strconv.FormatInt(x.Response.ContentLength, 10))
	}
	j.status = x.Response.StatusCode
	j.writer.WriteHeader(j.status)
	_, err := io.Copy(j.writer, io.MultiReader(bytes.NewReader(begun), x))
	if err != nil {
		j.reason = j.broken(a, x, "broke-off", err)
		panic(http.ErrAbortHandler)
	}
	x.Close()
	j.Tracker.End(a, observe.Served, time.Now())
	return true, ""
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// copyHeader copies what belongs to the answer and keeps the library from adding to it.
func copyHeader(to, from http.Header) {
	closing := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopHeaders {
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
