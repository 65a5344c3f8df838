package comparison

import (
	"time"

	"hornbeamwood/internal/load/model"
)

// Config says how long and how often each row is run.
type Config struct {
	// Profile gives the figures of the fakes.
	Profile model.Profile
	// Seeds has one run for each; a row shows the mean of its runs.
	Seeds []uint64
	// Warmup is the time before requests count.
	Warmup time.Duration
	// Measured is the time in which arrivals count.
	Measured time.Duration
	// Parallel is the number of runs at once.
	Parallel int
}

// Full returns the Config that docs/MEASUREMENTS.md is measured with.
func Full() Config {
	return Config{
		Profile: model.DefaultProfile(), Seeds: []uint64{11, 12, 13},
		Warmup: 40 * time.Minute, Measured: 10 * time.Minute, Parallel: 4,
	}
}

// Short returns a Config for a test: one seed and less time.
func Short() Config {
	return Config{
		Profile: model.DefaultProfile(), Seeds: []uint64{11},
		Warmup: 7 * time.Minute, Measured: 4 * time.Minute, Parallel: 4,
	}
}
