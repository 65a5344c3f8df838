package workload

import "time"

// Config holds the parameters of a Generator.
type Config struct {
	// Deployment defines the classes and workspaces.
	Deployment Deployment
	// Rate is the number of requests a second, including requests for returning documents.
	Rate float64
	// Length is the time until the last arrival.
	Length time.Duration
	// Seed determines the arrivals of a Config.
	Seed uint64
}
