package orders

import "time"

// Defaults of Config.
const (
	DefaultFlight    = 5 * time.Second
	DefaultLoadLimit = time.Minute
	DefaultPause     = 5 * time.Second
	DefaultRecheck   = 500 * time.Millisecond
	DefaultConfirm   = 10 * time.Second
)

// Config holds the timeouts of a Controller; zero fields take the defaults.
type Config struct {
	// Flight is the maximum network delay of an order to an engine.
	Flight time.Duration
	// LoadLimit is how long after the last contact an order counts as ended; it is far longer than a load.
	LoadLimit time.Duration
	// Pause is the backoff before a failed order is retried.
	Pause time.Duration
	// Recheck is the interval between reads of one order's state.
	Recheck time.Duration
	// Confirm is the time limit for a completed order to appear in the engine's announcement.
	Confirm time.Duration
}

func (c Config) withDefaults() Config {
	c.Flight = orDefault(c.Flight, DefaultFlight)
	c.LoadLimit = orDefault(c.LoadLimit, DefaultLoadLimit)
	c.Pause = orDefault(c.Pause, DefaultPause)
	c.Recheck = orDefault(c.Recheck, DefaultRecheck)
	c.Confirm = orDefault(c.Confirm, DefaultConfirm)
	return c
}

func orDefault(v, d time.Duration) time.Duration {
	if v <= 0 {
		return d
	}
	return v
}
