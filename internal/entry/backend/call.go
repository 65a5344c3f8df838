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

// maxAnswer is the largest answer that is read from a backend server, in bytes.
const maxAnswer = 1 << 20

// call sends a JSON request and returns the JSON answer; its errors carry a verdict.
func call[T any](ctx context.Context, c *http.Client, method, target string, body any) (T, error) {
	var none T
	b, err := json.Marshal(body)
	if err != nil {
		return none, verdict.New(verdict.NotRun, http.StatusInternalServerError, "bad-request", "the request can't be encoded").WithCause(err)
	}
	// A connection was handed out before the first byte; without one nothing was sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(b))
	if err != nil {
		return none, verdict.New(verdict.NotRun, http.StatusInternalServerError, "bad-address", "the address of the backend server can't be used").WithCause(err)
	}
	r.Header.Set("Content-Type", "application/json")
	w, err := c.Do(r)
	if err != nil {
		return none, broken(connected.Load(), err)
	}
	defer w.Body.Close()
	text, err := io.ReadAll(io.LimitReader(w.Body, maxAnswer))
	if err != nil {
		return none, broken(true, err)
	}
	if w.StatusCode != http.StatusOK {
		return none, refusal(w.StatusCode, text)
	}
	v, err := Decode[T](text)
	if err != nil {
		return none, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "bad-answer", "the backend server's answer can't be read").WithCause(err)
	}
	return v, nil
}

func broken(connected bool, err error) error {
	v := verdict.NotRun
	if connected {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, http.StatusBadGateway, "no-answer", "the backend server gave no answer").WithCause(err)
}

// refusal returns the error for an answer that is not 200; only statuses that engines give before they act are proof that nothing ran.
func refusal(status int, text []byte) error {
	p, err := Decode[Problem](text)
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
