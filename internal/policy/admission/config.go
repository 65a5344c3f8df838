package admission

import "time"

// Config configures admission; zero values mean the defaults.
type Config struct {
	// Margin is the fraction of the deadline that the expected time to first token may take.
	Margin float64
	// MinRetryAfter is the shortest RetryAfter of a refusal.
	MinRetryAfter time.Duration
	// MaxRetryAfter is the longest RetryAfter of a refusal.
	MaxRetryAfter time.Duration
	// Spread is the largest random addition to the wait, as a fraction of it.
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
