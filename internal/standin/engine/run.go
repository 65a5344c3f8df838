package engine

import (
	"context"
	"sync"
)

// run is one attempt. Its events are kept so that it can be resumed after a connection error.
type run struct {
	request, attempt string
	chat             bool
	body             completion
	promptTokens     int
	priority         int
	arrival          uint64
	ctx              context.Context
	cancel           context.CancelFunc
	cached           int
	transferred      transferred

	mu      sync.Mutex
	events  []string
	changed chan struct{}
	done    bool
}

func (r *run) append(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, line)
	r.notify()
}

func (r *run) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
	r.notify()
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// after returns the events after the given position, whether the run has ended, and a channel that is closed on the next change.
func (r *run) after(position int) ([]string, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position >= len(r.events) {
		return nil, r.done, r.changed
	}
	return r.events[position:len(r.events):len(r.events)], r.done, r.changed
}
