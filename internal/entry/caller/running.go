package caller

import (
	"sync"
	"sync/atomic"
)

// running counts the running requests of each workspace.
type running struct {
	counts sync.Map
}

// acquire counts one more request and reports whether the limit allows it; zero means no limit.
func (r *running) acquire(workspace string, limit int) bool {
	c := r.counter(workspace)
	if n := c.Add(1); limit > 0 && n > int64(limit) {
		c.Add(-1)
		return false
	}
	return true
}

func (r *running) release(workspace string) {
	r.counter(workspace).Add(-1)
}

func (r *running) of(workspace string) int {
	c, ok := r.counts.Load(workspace)
	if !ok {
		return 0
	}
	return int(c.(*atomic.Int64).Load())
}

func (r *running) counter(workspace string) *atomic.Int64 {
	if c, ok := r.counts.Load(workspace); ok {
		return c.(*atomic.Int64)
	}
	c, _ := r.counts.LoadOrStore(workspace, &atomic.Int64{})
	return c.(*atomic.Int64)
}
