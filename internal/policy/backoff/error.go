package backoff

import (
	"fmt"
	"time"
)

// Error is a response by which a server refused a call and requested a backoff.
type Error struct {
	// Status is the response's HTTP status.
	Status int
	// For is how long the server wants no calls.
	For time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("the server refused with status %d and requests a backoff of %s", e.Status, e.For)
}
