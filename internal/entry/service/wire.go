package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// Headers of docs/interfaces/service.md.
const (
	headerRequest   = "Hornbeamwood-Request"
	headerAttempt   = "Hornbeamwood-Attempt"
	headerWorkspace = "Hornbeamwood-Workspace"
	headerKey       = "Idempotency-Key"
	maxRetryAfter   = time.Hour
)

var errNoLength = errors.New("the answer has neither Content-Length nor chunks")

// forwarded are the caller's headers that go to the service.
var forwarded = []string{"Content-Type", "Accept", "Accept-Language"}

func newRequest(ctx context.Context, s Server, r Request, attempt string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+s.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	for _, n := range forwarded {
		if v := r.Header.Values(n); len(v) > 0 {
			request.Header[n] = v
		}
	}
	request.Header.Set(headerRequest, r.ID)
	request.Header.Set(headerAttempt, attempt)
	request.Header.Set(headerWorkspace, r.Workspace)
	if r.Key != "" {
		request.Header.Set(headerKey, r.Key)
	}
	return request, nil
}

// readAnswer returns the whole answer, cut at limit bytes, or the server's own statement that nothing ran.
func readAnswer(response *http.Response, limit int64) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if response.Header.Get(verdict.Header) == verdict.NotRun.String() {
		return Answer{}, refused(response)
	}
	if err != nil {
		return Answer{}, broken(err)
	}
	if !bounded(response) {
		return Answer{}, broken(errNoLength)
	}
	a := Answer{
		Status:  response.StatusCode,
		Header:  make(http.Header, len(returned)),
		Body:    body,
		Verdict: verdictOf(response.StatusCode),
	}
	if response.Header.Get(verdict.Header) == verdict.Ran.String() {
		a.Verdict = verdict.Ran
	}
	for _, n := range returned {
		if v := response.Header.Values(n); len(v) > 0 {
			a.Header[n] = v
		}
	}
	return a, nil
}

// bounded reports whether the end of the body is marked. A body that ends with
// the connection looks whole when the server died half-way, and half an answer
// would be recorded and repeated as the outcome.
func bounded(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// refused is the server's own statement that the call did not run.
func refused(response *http.Response) verdict.Error {
	status := response.StatusCode
	if status < http.StatusBadRequest {
		status = http.StatusServiceUnavailable
	}
	e := verdict.New(verdict.NotRun, status, "refused-by-service", "the service refused the call before it ran")
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return e
	}
	return e.WithRetryAfter(min(time.Duration(seconds)*time.Second, maxRetryAfter))
}

// unreachable is the failure to connect, before any byte of the call left.
func unreachable(err error) verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "service-unreachable",
		"no connection to the service could be made").WithRetryAfter(time.Second).WithCause(err)
}

// broken is a connection that failed after the call may have left.
func broken(err error) verdict.Error {
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "connection-lost",
		"the connection to the service was lost; the call may have run").WithCause(err)
}
