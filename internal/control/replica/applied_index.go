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

func (a *appliedIndex) advance(index uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if index <= a.index {
		return
	}
	a.index = index
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *appliedIndex) get() (uint64, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.index, a.changed
}

// wait returns nil once index is applied, or an error once ctx is done or end is closed.
func (a *appliedIndex) wait(ctx context.Context, index uint64, end <-chan struct{}) error {
	for {
		at, changed := a.get()
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
