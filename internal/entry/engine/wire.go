package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// Headers that docs/interfaces/engine.md specifies.
const (
	headerRequest       = "Hornbeamwood-Request"
	headerAttempt       = "Hornbeamwood-Attempt"
	headerWorkspace     = "Hornbeamwood-Workspace"
	headerPriority      = "Hornbeamwood-Priority"
	headerWeightVersion = "Hornbeamwood-Weight-Version"
	headerResumeAfter   = "Hornbeamwood-Resume-After"
)

func newRequest(ctx context.Context, address string, r Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	for n, v := range r.Header {
		request.Header[n] = v
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set(headerRequest, r.ID)
	request.Header.Set(headerAttempt, r.Attempt)
	request.Header.Set(headerWorkspace, r.Workspace)
	request.Header.Set(headerPriority, strconv.Itoa(r.Priority))
	request.Header.Set(headerWeightVersion, r.WeightVersion)
	return request, nil
}

// roundTrip returns the response, or an error whose verdict is not-run if no connection was made.
func (c *client) roundTrip(request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	if !resendable(request) {
		// The transport tries another connection only if nothing was written to the previous one.
		trace.GetConn = func(string) { connected.Store(false) }
	}
	response, err := c.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err == nil {
		return response, nil
	}
	if connected.Load() {
		return nil, lost(err)
	}
	return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "engine-unreachable",
		"no connection to a model engine could be made").WithRetryAfter(time.Second).WithCause(unexpected(err))
}

// resendable reports whether the transport may resend a request that was written to a connection before.
func resendable(request *http.Request) bool {
	return request.Header.Get("Idempotency-Key") != "" || request.Header.Get("X-Idempotency-Key") != ""
}

func lost(err error) verdict.Error {
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "stream-lost",
		"the answer broke off and could not be continued").WithCause(unexpected(err))
}

// unexpected returns err without io.EOF, which stands for the end of a complete answer: a connection that the engine
// closes ends with it too.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%s: %w", err, io.ErrUnexpectedEOF)
	}
	return err
}

// refusal is the protocol's error object.
type refusal struct {
	Error struct {
		Message string `json:"message"`
		Code    any    `json:"code"`
	} `json:"error"`
}

// refused returns the engine's refusal; the verdict is not-run only if the engine's response says so.
func refused(response *http.Response) verdict.Error {
	b, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusal))
	var body refusal
	_ = json.Unmarshal(b, &body)
	if body.Error.Message == "" {
		body.Error.Message = "the model engine refused the request"
	}
	e := verdict.New(verdict.MayHaveRun, statusFor(response.StatusCode), "engine-refused", "%s", body.Error.Message)
	if response.Header.Get(verdict.Header) == verdict.NotRun.String() {
		e = e.WithVerdict(verdict.NotRun)
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return e
	}
	return e.WithRetryAfter(min(time.Duration(seconds)*time.Second, maxRetryAfter))
}

// statusFor returns the caller's status for an engine's status; a status that concerns only the entry and the engine becomes 502.
func statusFor(status int) int {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return status
	default:
		return http.StatusBadGateway
	}
}
