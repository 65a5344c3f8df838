package retry

import "time"

// Decision is whether to retry, the wait before the next attempt and the reason.
type Decision struct {
	// Retry reports whether there is another attempt.
	Retry bool
	// Wait is the time to wait before the next attempt.
	Wait time.Duration
	// Reason is the reason for the decision.
	Reason Reason
}
