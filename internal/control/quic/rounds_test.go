package quic

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
)

// Concurrent reads must share rounds, but each must get a round that started after
// the read. An earlier round could miss an edit that was committed in between, and
// the entry would continue with outdated settings.
func TestReadersShareRoundsThatBeganAfterThem(t *testing.T) {
	const readers = 200
	var started, accepted atomic.Uint64
	r := &rounds{confirm: func(context.Context) (leadership, error) {
		started.Add(1)
		return leadership{index: accepted.Load()}, nil
	}}
	var all sync.WaitGroup
	for range readers {
		all.Go(func() {
			known := accepted.Add(1)
			l, err := r.next(context.Background())
			if err != nil || l.index < known {
				t.Errorf("index %d, %v after %d was accepted", l.index, err, known)
			}
		})
	}
	all.Wait()
	r.ended.Wait()
	if n := started.Load(); n >= readers {
		t.Errorf("%d rounds for %d readers", n, readers)
	}
}

// A round fails because the replica is not the leader. Every read that shared it
// must fail, and a later read must get a new round.
func TestFailedRoundFailsItsReaders(t *testing.T) {
	failed := errors.New("not the leader")
	fails := true
	r := &rounds{confirm: func(context.Context) (leadership, error) {
		if fails {
			return leadership{}, failed
		}
		return leadership{index: 7}, nil
	}}
	if _, err := r.next(context.Background()); !errors.Is(err, failed) {
		t.Errorf("got %v", err)
	}
	r.ended.Wait()
	fails = false
	if l, err := r.next(context.Background()); err != nil || l.index != 7 {
		t.Errorf("got %+v, %v", l, err)
	}
}
