package model

import "container/list"

// lru is an LRU cache of piece keys with a capacity; pinned keys are not evicted.
type lru struct {
	capacity int
	order    *list.List // of *slot, most recently used first
	slots    map[uint64]*list.Element
	evicted  func(key uint64)
}

type slot struct {
	key  uint64
	pins int
}

func newLRU(capacity int, evicted func(uint64)) *lru {
	return &lru{capacity: capacity, order: list.New(), slots: map[uint64]*list.Element{}, evicted: evicted}
}

func (l *lru) has(key uint64) bool {
	_, ok := l.slots[key]
	return ok
}

// touch marks key as used and returns whether it is present.
func (l *lru) touch(key uint64) bool {
	e, ok := l.slots[key]
	if ok {
		l.order.MoveToFront(e)
	}
	return ok
}

// add inserts key and returns whether it is new.
func (l *lru) add(key uint64) bool {
	if l.touch(key) {
		return false
	}
	l.slots[key] = l.order.PushFront(&slot{key: key})
	l.evict()
	return true
}

// pin prevents the eviction of a key; unpin reverts that.
func (l *lru) pin(key uint64) {
	l.slots[key].Value.(*slot).pins++
}

func (l *lru) unpin(key uint64) {
	if e, ok := l.slots[key]; ok {
		e.Value.(*slot).pins--
	}
}

func (l *lru) evict() {
	e := l.order.Back()
	for len(l.slots) > l.capacity && e != nil {
		previous := e.Prev()
		if s := e.Value.(*slot); s.pins == 0 && previous != nil {
			l.order.Remove(e)
			delete(l.slots, s.key)
			l.evicted(s.key)
		}
		e = previous
	}
}

// reset removes all keys without calling evicted.
func (l *lru) reset() {
	l.order.Init()
	clear(l.slots)
}

// keys returns all keys, most recently used first.
func (l *lru) keys() []uint64 {
	all := make([]uint64, 0, len(l.slots))
	for e := l.order.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*slot).key)
	}
	return all
}
