package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"hornbeamwood/internal/base/verdict"
)

// maxResponse is the largest response body that is read from a backend server, in bytes.
const maxResponse = 1 << 20

// call sends a JSON request and returns the decoded JSON response. Its errors carry a verdict.
func call[T any](ctx context.Context, c *http.Client, method, target string, body any) (T, error) {
	var zero T
	b, err := json.Marshal(body)
	if err != nil {
		return zero, verdict.New(verdict.NotRun, http.StatusInternalServerError, "bad-request", "the request can't be encoded").WithCause(err)
	}
	// The transport gets a connection before it writes the first byte. Without a connection nothing was sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(b))
	if err != nil {
		return zero, verdict.New(verdict.NotRun, http.StatusInternalServerError, "bad-address", "the address of the backend server can't be used").WithCause(err)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := c.Do(r)
	if err != nil {
		return zero, noAnswer(connected.Load(), err)
	}
	defer response.Body.Close()
	received, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return zero, noAnswer(true, err)
	}
	if response.StatusCode != http.StatusOK {
		return zero, refusal(response.StatusCode, received)
	}
	v, err := Decode[T](received)
	if err != nil {
		return zero, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "bad-answer", "the backend server's answer can't be read").WithCause(err)
	}
	return v, nil
}

func noAnswer(connected bool, err error) error {
	v := verdict.NotRun
	if connected {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, http.StatusBadGateway, "no-answer", "the backend server gave no answer").WithCause(err)
}

// refusal returns the error for a response other than 200. Only statuses that engines return
// before they act prove that nothing ran.
func refusal(status int, body []byte) error {
	p, err := Decode[Problem](body)
	if err != nil {
		p = Problem{Error: ProblemDetail{Code: "status", Message: fmt.Sprintf("status %d", status)}}
	}
	e := verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "refused", "the backend server answered %d %s", status, p.Error.Code)
	switch {
	case status == http.StatusConflict && p.Error.Code == "old-fencing":
		return e.WithVerdict(verdict.NotRun).WithCause(fmt.Errorf("%w: %d", ErrOldFencing, p.Fencing))
	case status == http.StatusNotFound:
		return e.WithVerdict(verdict.NotRun).WithCause(ErrUnknownOrder)
	case status == http.StatusBadRequest || status == http.StatusServiceUnavailable && p.Error.Code == "leaving":
		return e.WithVerdict(verdict.NotRun)
	}
	return e
}
