package model

import (
	"time"

	"hornbeamwood/internal/load/workload"
)

// Config describes one run.
type Config struct {
	// Deployment is the deployment with its sizes and request classes.
	Deployment workload.Deployment
	// Profile holds the parameters of the simulated engines, stores and links.
	Profile Profile
	// Variant is the strategy to measure.
	Variant Variant
	// Rate is the number of requests per second.
	Rate float64
	// Warmup is the time before requests are counted.
	Warmup time.Duration
	// Measured is the time during which arrivals are counted.
	Measured time.Duration
	// Seed is the seed of all random numbers; the same Config gives the same run.
	Seed uint64
	// Flooder is a workspace that is excluded from Result.LeastServed; empty for none.
	Flooder string
	// Failures are the failures injected during the run.
	Failures []Failure
}
