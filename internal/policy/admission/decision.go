package admission

import (
	"net/http"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// Decision says whether a request is taken, why, and when a refused one may come back.
type Decision struct {
	// Admit says whether the request is taken.
	Admit bool
	// Reason says why.
	Reason Reason
	// RetryAfter is how long a refused caller waits, in whole seconds.
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

// Err returns the refusal for the caller with verdict not-run, or nil when the request is admitted.
func (d Decision) Err() error {
	if d.Admit {
		return nil
	}
	return verdict.New(verdict.NotRun, statuses[d.Reason], string(d.Reason), "%s", messages[d.Reason]).
		WithRetryAfter(d.RetryAfter)
}
