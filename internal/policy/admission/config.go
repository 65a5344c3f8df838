package admission

import "time"

// Config says how strict admission is; zero values mean the defaults.
type Config struct {
	// Margin is the part of the deadline that the expected time to first token may take.
	Margin float64
	// MinRetryAfter is the shortest wait that a refusal names.
	MinRetryAfter time.Duration
	// MaxRetryAfter is the longest wait that a refusal names.
	MaxRetryAfter time.Duration
	// Spread is the part of the wait that is drawn at random and added.
	Spread float64
}

const (
	defaultMargin        = 0.7
	defaultMinRetryAfter = time.Second
	defaultMaxRetryAfter = 2 * time.Minute
	defaultSpread        = 0.5
)

func (c Config) withDefaults() Config {
	if c.Margin <= 0 {
		c.Margin = defaultMargin
	}
	if c.MinRetryAfter <= 0 {
		c.MinRetryAfter = defaultMinRetryAfter
	}
	if c.MaxRetryAfter <= 0 {
		c.MaxRetryAfter = defaultMaxRetryAfter
	}
	if c.Spread <= 0 {
		c.Spread = defaultSpread
	}
	return c
}
