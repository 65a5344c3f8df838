package stores

import (
	"sync"
	"time"
)

// Clock follows the servers' clock from what they tell of it.
//
// A reading is never ahead of the servers' clock: it was on its way when it
// came, so of two readings the one that is ahead is nearer. The clock of this VM
// may jump and isn't looked at.
type Clock struct {
	mu     sync.Mutex
	offset time.Duration
	start  time.Time
	known  bool
}

// NewClock returns a Clock that knows nothing yet.
func NewClock() *Clock {
	return &Clock{start: time.Now()}
}

// Observe takes a reading that has just come, in Unix milliseconds; zero is none.
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

// Now returns the servers' clock in Unix milliseconds, zero while it isn't known.
func (c *Clock) Now() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0
	}
	return (c.offset + time.Since(c.start)).Milliseconds()
}
