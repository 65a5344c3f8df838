package retry

import (
	"time"

	"hornbeamwood/internal/base/verdict"
)

// Failure describes the failed attempt and what is left for another.
type Failure struct {
	// Workspace is the workspace's name.
	Workspace string
	// Verdict says whether the attempt may have run.
	Verdict verdict.Verdict
	// Idempotent says whether the request may run more than once.
	Idempotent bool
	// Answered says that a part of the answer has gone to the caller.
	Answered bool
	// Attempt is the number of attempts that were made, 1 or more.
	Attempt int
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Servers is the number of other servers that can run the request.
	Servers int
}
