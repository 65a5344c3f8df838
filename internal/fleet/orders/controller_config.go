package orders

import "time"

// Defaults of Config.
const (
	DefaultFlight         = 5 * time.Second
	DefaultLoadLimit      = time.Minute
	DefaultBackoff        = 5 * time.Second
	DefaultRecheck        = 500 * time.Millisecond
	DefaultConfirmTimeout = 10 * time.Second
)

// Config holds the timeouts of a Controller; zero fields take the defaults.
type Config struct {
	// Flight is the maximum network delay of an order to an engine.
	Flight time.Duration
	// LoadLimit is how long after the last contact an order counts as ended; it is far longer than a load.
	LoadLimit time.Duration
	// Backoff is the backoff before a failed order is retried.
	Backoff time.Duration
	// Recheck is the interval between reads of one order's state.
	Recheck time.Duration
	// ConfirmTimeout is the time limit for a completed order to appear in the engine's announcement.
	ConfirmTimeout time.Duration
}

func (c Config) withDefaults() Config {
	c.Flight = orDefault(c.Flight, DefaultFlight)
	c.LoadLimit = orDefault(c.LoadLimit, DefaultLoadLimit)
	c.Backoff = orDefault(c.Backoff, DefaultBackoff)
	c.Recheck = orDefault(c.Recheck, DefaultRecheck)
	c.ConfirmTimeout = orDefault(c.ConfirmTimeout, DefaultConfirmTimeout)
	return c
}

func orDefault(v, d time.Duration) time.Duration {
	if v <= 0 {
		return d
	}
	return v
}
