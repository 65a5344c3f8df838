package model

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestLRUAgainstNaive(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	l := newLRU(5, func(uint64) {})
	var naive []uint64 // most recently used first
	for range 5000 {
		key := r.Uint64N(12)
		l.add(key)
		if i := slices.Index(naive, key); i >= 0 {
			naive = slices.Delete(naive, i, i+1)
		}
		naive = slices.Insert(naive, 0, key)
		naive = naive[:min(len(naive), 5)]
		if got := l.keys(); !slices.Equal(got, naive) {
			t.Fatalf("got %v, want %v", got, naive)
		}
	}
}

// A piece that is used by a running answer must not be evicted, whatever is inserted.
func TestPinnedKeyIsNotEvicted(t *testing.T) {
	l := newLRU(2, func(uint64) {})
	l.add(1)
	l.pin(1)
	for key := range uint64(20) {
		l.add(key + 2)
	}
	if !l.has(1) {
		t.Error("a pinned piece was evicted")
	}
	l.unpin(1)
	l.add(100)
	l.add(101)
	if l.has(1) {
		t.Error("an unpinned piece was not evicted")
	}
}
