package replica

import (
	"context"
	"sync"
)

// appliedIndex is the last applied index; callers can wait until it reaches a value.
type appliedIndex struct {
	mu      sync.Mutex
	index   uint64
	changed chan struct{}
}

func newAppliedIndex(index uint64) *appliedIndex {
	return &appliedIndex{index: index, changed: make(chan struct{})}
}

func (p *appliedIndex) advance(index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if index <= p.index {
		return
	}
	p.index = index
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *appliedIndex) get() (uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index, p.changed
}

// wait returns nil once index is applied, or an error once ctx is done or end is closed.
func (p *appliedIndex) wait(ctx context.Context, index uint64, end <-chan struct{}) error {
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
