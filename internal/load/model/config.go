package model

import (
	"time"

	"hornbeamwood/internal/load/workload"
)

// Config is one run.
type Config struct {
	// Deployment gives sizes and classes.
	Deployment workload.Deployment
	// Profile gives the figures of the fakes.
	Profile Profile
	// Contender is what is measured.
	Contender Contender
	// Rate is the number of requests a second.
	Rate float64
	// Warmup is the time before requests count.
	Warmup time.Duration
	// Measured is the time in which arrivals count.
	Measured time.Duration
	// Seed gives the same run for the same Config.
	Seed uint64
	// Flooder is a workspace that Result.LeastServed leaves out; empty for none.
	Flooder string
	// Failures happen during the run.
	Failures []Failure
}
