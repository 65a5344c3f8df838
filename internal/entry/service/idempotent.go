package service

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
)

const (
	retryWait = 20 * time.Millisecond
	// maxUnreachable bounds the servers that a call finds unreachable before its retries are charged to the budget.
	maxUnreachable = 4
)

// callIdempotent sends r and retries it on other servers while the budget and the deadline allow it.
func (c *client) callIdempotent(ctx context.Context, r Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.deadline(r))
	defer cancel()
	var excluded []string
	proved := verdict.NotRun
	var last error
	content := r.fingerprint()
	for {
		if err := c.Guard.Check(c.Now(), content); err != nil {
			return Answer{}, withVerdict(err, proved)
		}
		s, err := c.Picker.Pick(ctx, r, excluded)
		if err != nil {
			if last != nil {
				err = last
			}
			return Answer{}, withVerdict(err, proved)
		}
		c.write(event.CallDispatched, r, log.Fields{"attempt": "", "server": s.Identity})
		sent := c.Now()
		a, err := c.guarded(ctx, s, r, content, func() (Answer, error) { return c.send(ctx, s, r, c.NewAttempt()) })
		c.recordBackoff(s, sent, err)
		if err == nil {
			return a, nil
		}
		last = err
		if verdict.Of(err) != verdict.NotRun {
			proved = verdict.MayHaveRun
		}
		excluded = append(excluded, s.Identity)
		if !c.mayRetry(ctx, r, err, len(excluded)) {
			return Answer{}, withVerdict(err, proved)
		}
		c.write(event.CallRetried, r, log.Fields{"server": s.Identity, "cause": err.Error()})
	}
}

// mayRetry waits for a backoff, jittered to spread the retries of many callers, and reports whether one more attempt is allowed.
func (c *client) mayRetry(ctx context.Context, r Request, cause error, tried int) bool {
	if !c.mayTryAnother(r.Workspace, cause, tried) {
		return false
	}
	return c.Wait(ctx, retryWait+rand.N(retryWait)) == nil
}

// mayTryAnother reports whether a call that failed at its tried servers may be sent to another one. A server to
// which no connection could be made has got nothing, so it costs nothing of the budget, which bounds the load of retries.
func (c *client) mayTryAnother(workspace string, cause error, tried int) bool {
	if unreachableServer(cause) && tried < maxUnreachable {
		return true
	}
	return c.Budget != nil && c.Budget.Retry(workspace)
}

// withVerdict returns err with the verdict that holds for all attempts together.
func withVerdict(err error, proved verdict.Verdict) verdict.Error {
	e, ok := verdict.As(err)
	if !ok {
		e = asNotRun(err)
	}
	return e.WithVerdict(proved)
}

// send sends an idempotent call on a pooled connection.
func (c *client) send(ctx context.Context, s Server, r Request, attempt string) (Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), s, r, attempt)
	if err != nil {
		return Answer{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "invalid-call", "the call can't be sent").WithCause(err)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil && !connected.Load() {
		return Answer{}, unreachable(err)
	}
	if err != nil {
		return Answer{}, connectionLost(err)
	}
	defer response.Body.Close()
	a, err := readAnswer(response, c.MaxAnswer+1)
	if err == nil && int64(len(a.Body)) > c.MaxAnswer {
		return Answer{}, verdict.New(verdict.Ran, http.StatusBadGateway, "answer-too-large",
			"the service's answer is larger than %d bytes", c.MaxAnswer)
	}
	return a, err
}
