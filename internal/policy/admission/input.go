package admission

import "time"

// Input is what is known of a request when it is admitted.
type Input struct {
	// Server says whether any backend server can run the request.
	Server bool
	// Priority is that of the request's rules.
	Priority int
	// TTFT is the expected time to first token at the chosen server.
	TTFT time.Duration
	// Deadline is how long the caller waits; zero means without limit.
	Deadline time.Duration
	// Worth is that of the request's rules; zero means that requests are not compared.
	Worth float64
	// Compute is the time that a server would compute for the request.
	Compute time.Duration
	// Waited is the time since the request arrived.
	Waited time.Duration
	// InFlight is the number of the workspace's requests that run at this entry.
	InFlight int
	// MaxInFlight is the largest such number; zero means without limit.
	MaxInFlight int
}
