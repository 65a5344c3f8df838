package quic

import (
	"context"
	"sync"
	"time"
)

const (
	// roundPause is the least time between the starts of two rounds.
	roundPause = 10 * time.Millisecond
	// roundTimeout bounds one round.
	roundTimeout = 2 * time.Second
)

// moment is the result of a round.
type moment struct {
	leadership leadership
	err        error
}

// rounds lets all reads that come while a round runs share the next one.
//
// Each entry of the fleet reads about once a second. A round for each read
// costs the leader a message to each voter and back; shared, the cost does not
// grow with the number of entries.
type rounds struct {
	confirm func(ctx context.Context) (leadership, error)

	mu      sync.Mutex
	waiting []chan moment
	running bool
	ended   sync.WaitGroup
}

// next returns the result of a round that begins after the call.
func (r *rounds) next(ctx context.Context) (leadership, error) {
	result := make(chan moment, 1)
	r.mu.Lock()
	r.waiting = append(r.waiting, result)
	if !r.running {
		r.running = true
		r.ended.Go(r.run)
	}
	r.mu.Unlock()
	select {
	case m := <-result:
		return m.leadership, m.err
	case <-ctx.Done():
		return leadership{}, ctx.Err()
	}
}

// run carries out rounds while anybody waits.
func (r *rounds) run() {
	for {
		began := time.Now()
		r.mu.Lock()
		all := r.waiting
		r.waiting = nil
		r.running = len(all) > 0
		r.mu.Unlock()
		if len(all) == 0 {
			return
		}
		r.round(all)
		time.Sleep(roundPause - time.Since(began))
	}
}

func (r *rounds) round(all []chan moment) {
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	l, err := r.confirm(ctx)
	for _, c := range all {
		c <- moment{leadership: l, err: err}
	}
}
