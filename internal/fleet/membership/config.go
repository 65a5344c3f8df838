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
	// Forget is the silence after which a ready server is forgotten.
	Forget time.Duration
	// ForgetLeaver is the silence after which a leaving server is forgotten.
	//
	// A leaver forgotten too early could be brought back by a late message of
	// the same incarnation, so this is far above any message's life.
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
