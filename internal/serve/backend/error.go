package backend

import (
	"fmt"

	"hornbeamwood/internal/base/verdict"
)

// Reason is how an attempt at a server failed.
type Reason string

// Reasons of failures.
const (
	// Unreachable means that no connection could be established.
	Unreachable Reason = "unreachable"
	// Refused means that the connection was refused: no process listens at the server's address.
	Refused Reason = "refused"
	// NoPath means that this process may be cut off from all servers.
	NoPath Reason = "no-path"
	// CutOff means that this process was cut off from the server, or lost the entry that connected it, while it
	// waited for the response.
	CutOff Reason = "cut-off"
	// Saturated means that this process uses all connections to the server that it may have.
	Saturated Reason = "saturated"
	// Broken means that the connection ended.
	Broken Reason = "broken"
	// TimedOut means that the deadline passed.
	TimedOut Reason = "timed-out"
	// Malformed means that the data received is not a response to this request.
	Malformed Reason = "malformed"
	// Cancelled means that the caller disconnected.
	Cancelled Reason = "cancelled"
	// Withheld means that the message isn't to be sent any more.
	Withheld Reason = "withheld"
)

// Error is a failed attempt at a server.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict verdict.Verdict
	// Reason is how the attempt failed.
	Reason Reason
	// Cause is the underlying error.
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
