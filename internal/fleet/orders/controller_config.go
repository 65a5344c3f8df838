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

// Config holds the times of a Controller; zero fields take the defaults.
type Config struct {
	// Flight is the longest time that an order is on its way to an engine.
	Flight time.Duration
	// LoadLimit is the silence after which an order counts as ended; it is far above the time of a load.
	LoadLimit time.Duration
	// Pause is the wait before an order that failed is given again.
	Pause time.Duration
	// Recheck is the time between two questions about one order.
	Recheck time.Duration
	// Confirm is how long an engine's announcement may take to show an order that is done.
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
