package fairness

// Config configures a Queue; zero values mean the defaults.
type Config struct {
	// Quantum is the cost that a workspace with share 1 may use in each round.
	Quantum float64
	// MaxWaiting is the largest number of waiting requests of one workspace.
	MaxWaiting int
}

const (
	defaultQuantum    = 2
	defaultMaxWaiting = 256
	// minShare prevents a workspace whose share is zero from waiting forever.
	minShare = 0.01
)

func (c Config) withDefaults() Config {
	if c.Quantum <= 0 {
		c.Quantum = defaultQuantum
	}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	return c
}
