package request

import "time"

// Dispatch is what the system tells a server beside the caller's request.
type Dispatch struct {
	// Remaining is how long the server may work.
	Remaining time.Duration
	// Server is the ID of the server that is meant; another one at its address refuses.
	Server string
	// Workspace is the caller's workspace; empty for none.
	Workspace string
	// Urgency is the rank at an engine, 0 the most urgent; negative for the engine's default.
	Urgency int
	// Version is the version that the engine's weights must have; zero for any.
	Version int64
	// Salt keeps cached parts of different versions and workspaces apart.
	Salt string
	// Fetch names, for each part of the prompt, where the engine gets it; empty for nowhere.
	Fetch []string
	// Save names, for each part of the prompt, the store that shall have it; empty for none.
	Save []string
	// FetchDeadline is the moment on the servers' clock at which an unfinished fetch is thrown away, in Unix milliseconds; zero for never.
	FetchDeadline int64
	// LastEvent continues a stream after this event; zero for a whole stream.
	LastEvent int64
}
