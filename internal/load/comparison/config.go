package comparison

import (
	"time"

	"hornbeamwood/internal/load/model"
)

// Config defines how long and how often each row is run.
type Config struct {
	// Profile holds the parameters of the modeled servers and links.
	Profile model.Profile
	// Seeds holds the seed of each run; a row shows the mean of its runs.
	Seeds []uint64
	// Warmup is the time before arrivals are measured.
	Warmup time.Duration
	// Measured is the time during which arrivals are measured.
	Measured time.Duration
	// Parallel is the number of concurrent runs.
	Parallel int
}

// Full returns the Config of the measurements in docs/MEASUREMENTS.md.
func Full() Config {
	return Config{
		Profile: model.DefaultProfile(), Seeds: []uint64{11, 12, 13},
		Warmup: 40 * time.Minute, Measured: 10 * time.Minute, Parallel: 4,
	}
}

// Short returns a Config for tests, with one seed and shorter runs.
func Short() Config {
	return Config{
		Profile: model.DefaultProfile(), Seeds: []uint64{11},
		Warmup: 7 * time.Minute, Measured: 4 * time.Minute, Parallel: 4,
	}
}
