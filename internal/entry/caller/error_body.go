package caller

import (
	"net/http"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// errorBody is the protocol's error object with the verdict next to it.
type errorBody struct {
	Error   errorDetail     `json:"error"`
	Verdict verdict.Verdict `json:"verdict"`
}

// errorDetail is the protocol's description of an error.
type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

func newErrorBody(e verdict.Error) errorBody {
	return errorBody{
		Error:   errorDetail{Message: e.Message, Type: errorType(e.Status), Code: e.Code, Param: paramOf(e)},
		Verdict: e.Verdict,
	}
}

// errorType returns the protocol's error type for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// paramError is the cause of a refusal because of one field of the body.
type paramError string

// Error returns the field's name.
func (p paramError) Error() string {
	return "field " + string(p)
}

func paramOf(e verdict.Error) *string {
	p, ok := e.Cause.(paramError)
	if !ok {
		return nil
	}
	name := string(p)
	return &name
}

// asError returns err as a verdict.Error; other errors get the verdict may-have-run.
func asError(err error) verdict.Error {
	e, ok := verdict.As(err)
	if !ok {
		e = verdict.New(verdict.MayHaveRun, http.StatusInternalServerError, "internal", "the request failed").WithCause(err)
	}
	if e.Status < http.StatusBadRequest || e.Status > 599 {
		e.Status = http.StatusInternalServerError
	}
	return e
}

func stopping() verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "entry-stopping",
		"this entry is stopping; another one serves").WithRetryAfter(time.Second)
}

// noMemory is the refusal of a request for whose body no memory is free.
func noMemory(cause error) verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no-memory",
		"this entry has no memory for the body now").WithRetryAfter(time.Second).WithCause(cause)
}

func unauthorized() verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusUnauthorized, "invalid-key", "the key in Authorization is missing or not valid")
}

func tooLarge(limit int64) verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than %d bytes", limit)
}

func invalidField(name, format string, args ...any) verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusBadRequest, "invalid-request", format, args...).WithCause(paramError(name))
}

// unknownModel is the same error for a model that doesn't exist and for one of
// another workspace, so that it reveals nothing about other workspaces.
func unknownModel() verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusNotFound, "model-not-found", "the workspace has no model of this name").
		WithCause(paramError("model"))
}

func unknownService() verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusNotFound, "service-not-found", "the workspace has no service of this name")
}
