package inbound

import "errors"

// Errors of reading a body and of reserving memory.
var (
	// ErrTooLarge means that the body is larger than its limit, or than the memory for all clients.
	ErrTooLarge = errors.New("inbound: the body is too large")
	// ErrTimeout means that the body did not arrive in time.
	ErrTimeout = errors.New("inbound: the body did not arrive in time")
	// ErrNoMemory means that all memory for clients is in use, or that the client was evicted for others.
	ErrNoMemory = errors.New("inbound: no memory for the request")
	// ErrInterrupted means that reading the body was ended because the process stops.
	ErrInterrupted = errors.New("inbound: reading the body was interrupted")
	// ErrBroken means that the client has disconnected or sent what is no body.
	ErrBroken = errors.New("inbound: the body did not arrive whole")
)
