package observe

import "time"

// ServerStats is what is known of a server at one moment.
type ServerStats struct {
	// InFlight is how many requests of this entry are in flight at the server.
	InFlight int
	// PrefillTokens is how many prompt tokens of this entry's requests are queued or in prefill,
	// until the first event.
	PrefillTokens int
	// ReservedTokens is how many tokens this entry's requests need there at most.
	ReservedTokens int
	// Failures is the moving average of the failure rate.
	Failures float64
	// ConsecutiveLosses is how many attempts in a row brought no response at all.
	ConsecutiveLosses int
	// Latency is the moving average of the time to the response; zero before the first one.
	Latency time.Duration
	// WorkTime is the moving average of the time to the end of a valid response; zero before the first one.
	WorkTime time.Duration
	// EventGap is how long the server takes for the tokens of one event of a stream; zero while that is unknown.
	EventGap time.Duration
	// EjectedUntil is until when the server gets no requests while others are available.
	EjectedUntil time.Time
	// RefusedAt is when a connection was last refused. RefusedBy is how many other entries were
	// refused recently.
	RefusedAt time.Time
	RefusedBy int
	// RespondedAt is when the server last responded.
	RespondedAt time.Time
	// AnsweredSentAt is when the newest of those requests was sent to which the server has begun an answer, and
	// AnsweredIncarnation the incarnation that did.
	AnsweredSentAt      time.Time
	AnsweredIncarnation int64
	// Running, Waiting and Slots are from the server's own load report, received at ReportedAt.
	Running, Waiting, Slots int
	// ReportedAt is when the load report arrived.
	ReportedAt time.Time
	// SentSinceReport is how many requests this entry sent to the server since the report.
	SentSinceReport int
}
