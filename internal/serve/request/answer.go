package request

import "time"

// Answer is the content of a server's response headers.
type Answer struct {
	// Attempt is the attempt that the server responds to.
	Attempt string
	// Stamped is set if the response carries the server's stamp. A success without it is not
	// valid.
	Stamped bool
	// NotRun is set if the server guarantees that it has not run the request and never will.
	NotRun bool
	// Server is the ID of the server; empty if not stated.
	Server string
	// Load is the server's load, nil if not stated.
	Load *Load
	// Limit is how many requests per second the server accepts from all entries together, nil if
	// it announces no limit.
	Limit *float64
	// Brittle is how many requests the server can reject in a second for want of room without falling
	// over, nil if it states none.
	Brittle *float64
	// Leaving is set if the server states that it leaves.
	Leaving bool
	// RetryAfter is for how long a server that answers 503 or 429 wants no further requests from this
	// entry, zero if not stated.
	RetryAfter time.Duration
	// Version is the version of the weights; zero if not stated.
	Version int64
}

// Load is the load of a server.
type Load struct {
	// Running, Waiting and Slots count requests.
	Running, Waiting, Slots int
}
