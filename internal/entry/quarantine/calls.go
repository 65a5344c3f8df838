package quarantine

import (
	"context"
	"sync"
	"time"

	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/policy/suspicion"
)

// calls is a service.Guard. Equal calls of many callers often run at the same time, unlike equal prompts,
// so servers that are lost together count once against them.
type calls struct {
	*guard
	mu   sync.Mutex
	runs map[place]*runs
}

// place is a call at a server.
type place struct {
	content suspicion.Fingerprint
	server  string
}

// runs are the runs of a call at a server.
type runs struct {
	began time.Time
	count int
}

// Calls implements Guard.
func (g *guard) Calls() service.Guard {
	return &calls{guard: g, runs: map[place]*runs{}}
}

// Check implements service.Guard.
func (c *calls) Check(now time.Time, f suspicion.Fingerprint) error {
	return c.guard.Check(now, "", suspicion.Attributes{Request: f})
}

// Started implements service.Guard.
func (c *calls) Started(now time.Time, f suspicion.Fingerprint, server string) {
	c.mu.Lock()
	r, ok := c.runs[place{f, server}]
	if !ok {
		r = &runs{began: now}
		c.runs[place{f, server}] = r
	}
	r.count++
	c.mu.Unlock()
	c.guard.Started(now, f, server)
}

// Ended implements service.Guard.
func (c *calls) Ended(ctx context.Context, now time.Time, f suspicion.Fingerprint, server string, e service.Ending) {
	c.mu.Lock()
	r := c.runs[place{f, server}]
	if r.count--; r.count == 0 {
		delete(c.runs, place{f, server})
	}
	c.mu.Unlock()
	c.guard.mu.Lock()
	run := c.ownerOf(f)
	c.guard.mu.Unlock()
	run.Age = max(time.Nanosecond, now.Sub(r.began))
	c.endRun(ctx, now, run, server, e)
}
