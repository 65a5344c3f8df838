package request

import (
	"time"

	"hornbeamwood/internal/serve/events"
)

// Dispatch is what the system sends to a server in addition to the caller's request.
type Dispatch struct {
	// Remaining is how long the server may work on the request.
	Remaining time.Duration
	// Server is the ID of the intended server; another one at its address rejects the request.
	Server string
	// Workspace is the caller's workspace; empty for none.
	Workspace string
	// Urgency is the priority at an engine, 0 the most urgent; negative for the engine's default.
	Urgency int
	// Version is the required version of the engine's weights; zero for any.
	Version int64
	// Salt separates the cached parts of different versions and workspaces.
	Salt string
	// Fetch is, for each part of the prompt, the address from which the engine fetches it; empty
	// for none.
	Fetch []string
	// Save is, for each part of the prompt, the store to which the engine saves it; empty for
	// none.
	Save []string
	// FetchDeadline is the time on the servers' clock at which an unfinished fetch is discarded,
	// in Unix milliseconds; zero for no deadline.
	FetchDeadline int64
	// LastEvent is where the stream resumes; before the first event for a whole stream.
	LastEvent events.Position
}
