package engine

import (
	"context"
	"sync"
)

// run is one attempt; its events are kept so that a broken connection can be resumed.
type run struct {
	request, attempt string
	chat             bool
	body             completion
	promptTokens     int
	priority         int
	order            uint64
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
	r.wake()
}

func (r *run) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
	r.wake()
}

func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// after returns the events past the given position, whether the run ended, and a channel that closes on the next change.
func (r *run) after(position int) ([]string, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position >= len(r.events) {
		return nil, r.done, r.changed
	}
	return r.events[position:len(r.events):len(r.events)], r.done, r.changed
}
