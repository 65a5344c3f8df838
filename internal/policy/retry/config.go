package retry

import "time"

// Config configures retries; zero values mean the defaults.
type Config struct {
	// Burst is the largest number of retries that an idle workspace can accumulate.
	Burst float64
	// FleetBurst is the largest number of retries that all workspaces together can accumulate.
	FleetBurst float64
	// BaseWait is the upper bound of the first wait; the bound doubles with each further attempt.
	BaseWait time.Duration
	// MaxWait is the largest upper bound of a wait.
	MaxWait time.Duration
}

const (
	defaultBurst      = 3
	defaultFleetBurst = 10
	defaultBaseWait   = 20 * time.Millisecond
	defaultMaxWait    = time.Second
)

func (c Config) withDefaults() Config {
	if c.Burst <= 0 {
		c.Burst = defaultBurst
	}
	if c.FleetBurst <= 0 {
		c.FleetBurst = defaultFleetBurst
	}
	if c.BaseWait <= 0 {
		c.BaseWait = defaultBaseWait
	}
	if c.MaxWait <= 0 {
		c.MaxWait = defaultMaxWait
	}
	return c
}
