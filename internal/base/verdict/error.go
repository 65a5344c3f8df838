package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Error is a refusal or failure with its Verdict, HTTP status and retry time.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict Verdict `cbor:"verdict"`
	// Status is the HTTP status of the response, 400 to 599.
	Status int `cbor:"status"`
	// Code is a stable machine-readable code in kebab case, for example "no-quorum".
	Code string `cbor:"code"`
	// Message is a human-readable sentence; it must not name other workspaces.
	Message string `cbor:"message"`
	// RetryAfter is how long to wait before a retry; zero means that a retry does not help.
	RetryAfter time.Duration `cbor:"retry-after"`
	// Cause is the wrapped error; it is not sent to other processes.
	Cause error `cbor:"-"`
}

// New returns an Error with the given verdict, HTTP status, code and formatted message.
func New(v Verdict, status int, code, format string, args ...any) Error {
	return Error{Verdict: v, Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error returns the code, the message and the cause.
func (e Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Verdict)
	}
	return fmt.Sprintf("%s: %s (%s): %v", e.Code, e.Message, e.Verdict, e.Cause)
}

// Unwrap returns the cause.
func (e Error) Unwrap() error {
	return e.Cause
}

// WithVerdict returns a copy of e with the given verdict.
func (e Error) WithVerdict(v Verdict) Error {
	e.Verdict = v
	return e
}

// WithRetryAfter returns a copy of e that asks the caller to retry after d.
func (e Error) WithRetryAfter(d time.Duration) Error {
	e.RetryAfter = d
	return e
}

// WithCause returns a copy of e that wraps err.
func (e Error) WithCause(err error) Error {
	e.Cause = err
	return e
}

// Of returns the verdict of the first Error that err wraps, or MayHaveRun if there is none.
func Of(err error) Verdict {
	if e, ok := As(err); ok {
		return e.Verdict
	}
	return MayHaveRun
}

// As returns the first Error that err wraps.
func As(err error) (Error, bool) {
	var e Error
	ok := errors.As(err, &e)
	return e, ok
}
