package rest

import (
	"fmt"
	"time"
)

// Error is a response by which a server refused a call and asked for rest.
type Error struct {
	// Status is the response's HTTP status.
	Status int
	// For is how long the server wants no calls.
	For time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("the server refused with status %d and asks for a rest of %s", e.Status, e.For)
}
