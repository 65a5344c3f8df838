package admission

import (
	"net/http"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// Decision is the result of admission: whether the request is admitted, the reason, and when a
// refused caller may resend it.
type Decision struct {
	// Admit reports whether the request is admitted.
	Admit bool
	// Reason is the reason for the decision.
	Reason Reason
	// RetryAfter is how long a refused caller should wait, in whole seconds.
	RetryAfter time.Duration
}

var statuses = map[Reason]int{
	DeadlineMissed:  http.StatusServiceUnavailable,
	TooManyInFlight: http.StatusTooManyRequests,
	QueueFull:       http.StatusTooManyRequests,
	NoServer:        http.StatusServiceUnavailable,
}

var messages = map[Reason]string{
	DeadlineMissed:  "the request would miss its deadline",
	TooManyInFlight: "the workspace runs as many requests as it may",
	QueueFull:       "the workspace's queue is full",
	NoServer:        "no backend server can run the request now",
}

// Err returns the error for the caller, with verdict not-run, or nil if the request is admitted.
func (d Decision) Err() error {
	if d.Admit {
		return nil
	}
	return verdict.New(verdict.NotRun, statuses[d.Reason], string(d.Reason), "%s", messages[d.Reason]).
		WithRetryAfter(d.RetryAfter)
}
