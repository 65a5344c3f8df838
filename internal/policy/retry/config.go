package retry

import "time"

// Config says how attempts are repeated; zero values mean the defaults.
type Config struct {
	// Burst is the number of repeats that a quiet workspace may have at once.
	Burst float64
	// FleetBurst is the number of repeats that all workspaces together may have at once.
	FleetBurst float64
	// BaseWait is the upper bound of the first wait; each later one is twice as long.
	BaseWait time.Duration
	// MaxWait bounds the waits.
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
