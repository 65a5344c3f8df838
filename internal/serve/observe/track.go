package observe

import "time"

// Track is what is known of a server at one moment.
type Track struct {
	// InFlight is how many requests of this entry it has.
	InFlight int
	// Reading is how many prompt tokens of this entry's requests wait for the first event.
	Reading int
	// Held is how many tokens this entry's requests there hold at most.
	Held int
	// Failures is the moving share of attempts that failed.
	Failures float64
	// Streak is how many attempts in a row brought no answer at all.
	Streak int
	// Latency is the moving mean of the time to the answer; zero before the first one.
	Latency time.Duration
	// SetAside is until when the server gets nothing while others are there.
	SetAside time.Time
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
	// Since is how many requests went there from here after the report.
	Since int
}
