package caller

import (
	"context"
	"sync"
)

// drainGate counts running requests and can be closed to new ones.
type drainGate struct {
	mu      sync.Mutex
	count   int
	closed  bool
	drained chan struct{}
}

func newDrainGate() *drainGate {
	return &drainGate{drained: make(chan struct{})}
}

func (g *drainGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.count++
	return true
}

func (g *drainGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.closed && g.count == 0 {
		close(g.drained)
	}
}

func (g *drainGate) running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}

// close makes enter refuse new requests and waits until the running ones have ended or ctx ends.
func (g *drainGate) close(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed && g.count == 0 {
		close(g.drained)
	}
	g.closed = true
	g.mu.Unlock()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
