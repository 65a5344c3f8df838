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
	"hornbeamwood/internal/node/httphead"
)

// Headers that docs/interfaces/service.md specifies, and a bound on Retry-After.
const (
	headerRequest   = "Hornbeamwood-Request"
	headerAttempt   = "Hornbeamwood-Attempt"
	headerWorkspace = "Hornbeamwood-Workspace"
	headerKey       = "Idempotency-Key"
	maxRetryAfter   = time.Hour
)

var errNoLength = errors.New("the answer has neither Content-Length nor chunked encoding")

// forwardedHeaders lists the caller's headers that are sent to the service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

func newRequest(ctx context.Context, s Server, r Request, attempt string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+s.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	for _, n := range forwardedHeaders {
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

// readAnswer returns the answer with at most limit bytes of its body, or the service's refusal with the verdict not-run.
func readAnswer(response *http.Response, limit int64) (Answer, error) {
	if err := httphead.Check(response); err != nil {
		return Answer{}, connectionLost(err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if response.Header.Get(verdict.Header) == verdict.NotRun.String() {
		return Answer{}, refused(response)
	}
	if err != nil {
		return Answer{}, connectionLost(err)
	}
	if !bounded(response) {
		return Answer{}, connectionLost(errNoLength)
	}
	a := Answer{
		Status:  response.StatusCode,
		Header:  make(http.Header, len(returnedHeaders)),
		Body:    body,
		Verdict: verdictOf(response.StatusCode),
	}
	if response.Header.Get(verdict.Header) == verdict.Ran.String() {
		a.Verdict = verdict.Ran
	}
	for _, n := range returnedHeaders {
		if v := response.Header.Values(n); len(v) > 0 {
			a.Header[n] = v
		}
	}
	return a, nil
}

// bounded reports whether the body's end is delimited. A body that ends with the
// connection looks complete when the server crashes in the middle, and a truncated
// answer would be recorded and returned as the outcome. An answer to HEAD has none.
func bounded(response *http.Response) bool {
	return response.Request.Method == http.MethodHead || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// Codes of errors that the client itself tells apart: a refusal by the service, no connection, and a broken one.
const (
	codeRefused     = "refused-by-service"
	codeUnreachable = "service-unreachable"
	codeLost        = "connection-lost"
)

// refused returns the service's refusal, which states that the call did not run.
func refused(response *http.Response) verdict.Error {
	status := response.StatusCode
	if status < http.StatusBadRequest {
		status = http.StatusServiceUnavailable
	}
	e := verdict.New(verdict.NotRun, status, codeRefused, "the service refused the call before it ran")
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return e
	}
	return e.WithRetryAfter(min(time.Duration(seconds)*time.Second, maxRetryAfter))
}

// unreachable is the error for a failure to connect, before any byte of the call was sent.
func unreachable(err error) verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeUnreachable,
		"no connection to the service could be made").WithRetryAfter(time.Second).WithCause(err)
}

// connectionLost is the error for a connection that failed after the call may have been sent.
func connectionLost(err error) verdict.Error {
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, codeLost,
		"the connection to the service was lost; the call may have run").WithCause(err)
}
