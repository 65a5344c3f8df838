package stores

import (
	"sync"
	"time"
)

// Clock estimates the servers' clock from timestamps that servers send.
//
// A timestamp is never ahead of the servers' clock, since it was in transit before
// it arrived. Of two timestamps the one that gives the larger offset is more accurate.
// The wall clock of this VM may jump and is not used.
type Clock struct {
	mu     sync.Mutex
	offset time.Duration
	start  time.Time
	known  bool
}

// NewClock returns a Clock without an estimate.
func NewClock() *Clock {
	return &Clock{start: time.Now()}
}

// Observe records a timestamp that has just arrived, in Unix milliseconds; zero means none.
func (c *Clock) Observe(millis int64) {
	if millis <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	offset := time.Duration(millis)*time.Millisecond - time.Since(c.start)
	if !c.known || offset > c.offset {
		c.offset, c.known = offset, true
	}
}

// Now returns the servers' clock in Unix milliseconds, or zero while it is unknown.
func (c *Clock) Now() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0
	}
	return (c.offset + time.Since(c.start)).Milliseconds()
}
