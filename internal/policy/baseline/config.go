package baseline

// Config configures a baseline.
type Config struct {
	// Imports imports each missing piece from a store that has it, regardless of the backlog of the
	// link.
	Imports bool
	// Name is the name of the strategy; empty means the default name of the baseline.
	Name string
}

func (c Config) named(name string) string {
	if c.Name != "" {
		return c.Name
	}
	if c.Imports {
		return name + "-import"
	}
	return name
}
