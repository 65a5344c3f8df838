package baseline

// Config says what a baseline may use.
type Config struct {
	// Imports reads each missing piece from a store that has it, whatever the link's backlog.
	Imports bool
	// Name is the strategy's name; empty means the baseline's own.
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
