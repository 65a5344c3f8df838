package quic

import (
	"context"
	"sync"
	"time"
)

const (
	// roundInterval is the minimum time between the starts of two rounds.
	roundInterval = 10 * time.Millisecond
	// roundTimeout bounds one round.
	roundTimeout = 2 * time.Second
)

// roundResult is the result of a round.
type roundResult struct {
	leadership leadership
	err        error
}

// rounds batches leadership confirmations: all reads that arrive during a round share the next one.
//
// Each entry of the fleet reads about once a second, and a round costs the leader
// a message to each voter and a reply from it. With shared rounds this cost does
// not grow with the number of entries.
type rounds struct {
	confirm func(ctx context.Context) (leadership, error)

	mu      sync.Mutex
	waiting []chan roundResult
	running bool
	ended   sync.WaitGroup
}

// next returns the result of a round that starts after the call.
func (r *rounds) next(ctx context.Context) (leadership, error) {
	result := make(chan roundResult, 1)
	r.mu.Lock()
	r.waiting = append(r.waiting, result)
	if !r.running {
		r.running = true
		r.ended.Go(r.run)
	}
	r.mu.Unlock()
	select {
	case res := <-result:
		return res.leadership, res.err
	case <-ctx.Done():
		return leadership{}, ctx.Err()
	}
}

// run runs rounds while there are waiting reads.
func (r *rounds) run() {
	for {
		started := time.Now()
		r.mu.Lock()
		all := r.waiting
		r.waiting = nil
		r.running = len(all) > 0
		r.mu.Unlock()
		if len(all) == 0 {
			return
		}
		r.round(all)
		time.Sleep(roundInterval - time.Since(started))
	}
}

func (r *rounds) round(all []chan roundResult) {
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	l, err := r.confirm(ctx)
	for _, c := range all {
		c <- roundResult{leadership: l, err: err}
	}
}
