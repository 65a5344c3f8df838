package admission

import "time"

// Input is the input of an admission decision.
type Input struct {
	// Server reports whether any backend server can run the request.
	Server bool
	// Priority is the priority in the request's rules.
	Priority int
	// TTFT is the expected time to first token at the chosen server.
	TTFT time.Duration
	// Deadline is how long the caller waits; zero means no limit.
	Deadline time.Duration
	// Worth is the worth in the request's rules; zero means that requests are not compared by
	// worth.
	Worth float64
	// Compute is the time that a server would spend computing the prompt.
	Compute time.Duration
	// Waited is the time since the request arrived.
	Waited time.Duration
	// InFlight is the number of the workspace's requests in flight at this entry.
	InFlight int
	// MaxInFlight is the limit of InFlight; zero means no limit.
	MaxInFlight int
}
