package route

import (
	"math/rand/v2"
	"time"
)

// Strategy chooses a server for each request.
type Strategy interface {
	// Name returns the strategy's kebab-case name.
	Name() string
	// Decide returns the server and plan for r; it modifies neither r nor c.
	Decide(now time.Time, r *Request, c *Cell, random *rand.Rand) Decision
}
