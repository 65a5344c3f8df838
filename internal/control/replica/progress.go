package replica

import (
	"context"
	"sync"
)

// progress is the last applied index, which callers can wait for.
type progress struct {
	mu      sync.Mutex
	index   uint64
	changed chan struct{}
}

func newProgress(index uint64) *progress {
	return &progress{index: index, changed: make(chan struct{})}
}

func (p *progress) advance(index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if index <= p.index {
		return
	}
	p.index = index
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *progress) get() (uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index, p.changed
}

// wait returns nil once index is applied, or the error of ctx or of end.
func (p *progress) wait(ctx context.Context, index uint64, end <-chan struct{}) error {
	for {
		at, changed := p.get()
		if at >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errTimeout(ctx.Err())
		case <-end:
			return errStopped(nil)
		}
	}
}
