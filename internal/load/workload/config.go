package workload

import "time"

// Config says what a Generator draws.
type Config struct {
	// Deployment gives the classes and workspaces.
	Deployment Deployment
	// Rate is the number of requests a second, returns counted.
	Rate float64
	// Length is the time until the last arrival.
	Length time.Duration
	// Seed gives the same arrivals for the same Config.
	Seed uint64
}
