package retry

import "time"

// Decision says whether to try again, after which wait, and why.
type Decision struct {
	// Retry says whether there is another attempt.
	Retry bool
	// Wait is how long to wait before it.
	Wait time.Duration
	// Reason says why.
	Reason Reason
}
