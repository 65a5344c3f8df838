package membership

import "time"

// Defaults of Config.
const (
	DefaultServers      = 1024
	DefaultHoldings     = 32
	DefaultServices     = 32
	DefaultForget       = 10 * time.Minute
	DefaultForgetLeaver = time.Hour
)

// Config holds the limits of a Table; zero fields take the defaults.
type Config struct {
	// Servers is the largest number of backend servers.
	Servers int
	// Holdings is the largest number of holdings of one server.
	Holdings int
	// Services is the largest number of services of one server.
	Services int
	// Forget is how long after its last announcement a ready server is removed.
	Forget time.Duration
	// ForgetLeaver is how long after its last announcement a leaving server is removed.
	//
	// A late message of the same incarnation could bring back a server that was
	// removed too early, so this is far longer than any message can be delayed.
	ForgetLeaver time.Duration
}

func (c Config) withDefaults() Config {
	c.Servers = orDefault(c.Servers, DefaultServers)
	c.Holdings = orDefault(c.Holdings, DefaultHoldings)
	c.Services = orDefault(c.Services, DefaultServices)
	c.Forget = orDefault(c.Forget, DefaultForget)
	c.ForgetLeaver = orDefault(c.ForgetLeaver, DefaultForgetLeaver)
	return c
}

func orDefault[T int | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}
