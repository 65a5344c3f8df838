package inbound

import "time"

// Limits are the limits of a listener's clients that may change while it serves.
type Limits struct {
	// HeaderBytes bounds the head of a request.
	HeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a head to its end.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time without a request, and the time for which a client takes nothing of its answer.
	IdleTimeout time.Duration
}
