package observe

import "time"

// ServerStats is what is known of a server at one moment.
type ServerStats struct {
	// InFlight is how many requests of this entry it has.
	InFlight int
	// PrefillTokens is how many prompt tokens of this entry's requests wait for the first event.
	PrefillTokens int
	// ReservedTokens is how many tokens this entry's requests there hold at most.
	ReservedTokens int
	// Failures is the moving share of attempts that failed.
	Failures float64
	// ConsecutiveLosses is how many attempts in a row brought no answer at all.
	ConsecutiveLosses int
	// Latency is the moving mean of the time to the answer; zero before the first one.
	Latency time.Duration
	// EjectedUntil is until when the server gets nothing while others are there.
	EjectedUntil time.Time
	// Refused is when a connection was last refused, RefusedBy how many other entries
	// were refused lately.
	Refused   time.Time
	RefusedBy int
	// Answered is when it last answered.
	Answered time.Time
	// Running, Waiting and Slots are its own report, at Reported.
	Running, Waiting, Slots int
	// Reported is when the report came.
	Reported time.Time
	// SentSinceReport is how many requests went there from here after the report.
	SentSinceReport int
}
