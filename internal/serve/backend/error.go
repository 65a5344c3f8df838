package backend

import (
	"fmt"

	"hornbeamwood/internal/base/verdict"
)

// Reason says how an attempt at a server failed.
type Reason string

// Reasons of failures.
const (
	// Unreachable means that no connection came about.
	Unreachable Reason = "unreachable"
	// Refused means that nobody listens at the server's address.
	Refused Reason = "refused"
	// Saturated means that this process has all the connections that it may have.
	Saturated Reason = "saturated"
	// Broken means that the connection ended.
	Broken Reason = "broken"
	// TimedOut means that the time ran out.
	TimedOut Reason = "timed-out"
	// Malformed means that what came is no answer to this request.
	Malformed Reason = "malformed"
	// Cancelled means that the caller left.
	Cancelled Reason = "cancelled"
)

// Error is a failed attempt at a server.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// Reason says how it failed.
	Reason Reason
	// Cause is the error underneath.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("backend: %s (%s): %v", e.Reason, e.Verdict, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}
