package retry

import (
	"time"

	"hornbeamwood/internal/base/verdict"
)

// Failure describes a failed attempt and the conditions for another one.
type Failure struct {
	// Workspace is the workspace's name.
	Workspace string
	// Verdict is the verdict of the attempt: whether it may have run.
	Verdict verdict.Verdict
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Answered reports that a part of the answer was sent to the caller.
	Answered bool
	// Attempt is the number of attempts made so far, 1 or more.
	Attempt int
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Servers is the number of other servers that can run the request.
	Servers int
}
