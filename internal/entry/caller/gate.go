package caller

import (
	"context"
	"sync"
)

// gate counts running requests and can be closed for new ones.
type gate struct {
	mu     sync.Mutex
	count  int
	closed bool
	empty  chan struct{}
}

func newGate() *gate {
	return &gate{empty: make(chan struct{})}
}

func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.count++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.closed && g.count == 0 {
		close(g.empty)
	}
}

func (g *gate) inside() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}

// close refuses new requests and waits for those inside.
func (g *gate) close(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed && g.count == 0 {
		close(g.empty)
	}
	g.closed = true
	g.mu.Unlock()
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
