package directory

import (
	"sync"
	"sync/atomic"

	"hornbeamwood/internal/cache/block"
)

const shardCount = 64

// keyPrefix is the first half of a key. A collision only makes a hint wrong, since reads use the whole key.
type keyPrefix [16]byte

func prefix(k block.Key) keyPrefix {
	return keyPrefix(k[:16])
}

// shard holds some of the pieces.
type shard struct {
	mu    sync.RWMutex
	heads map[keyPrefix]uint32
	slab  slab
	count *atomic.Int64
	limit int64
}

func newShard(count *atomic.Int64, limit int) *shard {
	return &shard{heads: map[keyPrefix]uint32{}, count: count, limit: int64(limit)}
}

// find returns the piece's first location that matches, or nil.
func (s *shard) find(k keyPrefix, match func(l *location) bool) *location {
	for i := s.heads[k]; i != 0; i = s.slab.at(i).next {
		if l := s.slab.at(i); match(l) {
			return l
		}
	}
	return nil
}

// put adds a location and returns false if the directory is full.
func (s *shard) put(k keyPrefix, l location) bool {
	if s.count.Add(1) > s.limit {
		s.count.Add(-1)
		return false
	}
	l.next = s.heads[k]
	s.heads[k] = s.slab.add(l)
	return true
}

// drop removes the piece's matching locations.
func (s *shard) drop(k keyPrefix, match func(l *location) bool) {
	head, ok := s.heads[k]
	if !ok {
		return
	}
	kept := s.filter(head, match)
	if kept == 0 {
		delete(s.heads, k)
		return
	}
	if kept != head {
		s.heads[k] = kept
	}
}

// filter removes the matching locations from the list that starts at head and returns its new head.
func (s *shard) filter(head uint32, match func(l *location) bool) uint32 {
	first, last := uint32(0), uint32(0)
	for i := head; i != 0; {
		l := s.slab.at(i)
		next := l.next
		switch {
		case match(l):
			s.slab.remove(i)
			s.count.Add(-1)
		case first == 0:
			first, last = i, i
		default:
			s.slab.at(last).next = i
			last = i
		}
		i = next
	}
	if last != 0 {
		s.slab.at(last).next = 0
	}
	return first
}
