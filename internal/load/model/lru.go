package model

import "container/list"

// lru holds piece keys up to a number; the least recently used that is not pinned leaves first.
type lru struct {
	room    int
	order   *list.List // of *slot, most recently used first
	slots   map[uint64]*list.Element
	evicted func(key uint64)
}

type slot struct {
	key  uint64
	pins int
}

func newLRU(room int, evicted func(uint64)) *lru {
	return &lru{room: room, order: list.New(), slots: map[uint64]*list.Element{}, evicted: evicted}
}

func (l *lru) has(key uint64) bool {
	_, ok := l.slots[key]
	return ok
}

// touch marks key as used and returns whether it is held.
func (l *lru) touch(key uint64) bool {
	e, ok := l.slots[key]
	if ok {
		l.order.MoveToFront(e)
	}
	return ok
}

// add holds key and returns whether it is new.
func (l *lru) add(key uint64) bool {
	if l.touch(key) {
		return false
	}
	l.slots[key] = l.order.PushFront(&slot{key: key})
	l.shrink()
	return true
}

// pin keeps a held key from leaving; unpin ends that.
func (l *lru) pin(key uint64) {
	l.slots[key].Value.(*slot).pins++
}

func (l *lru) unpin(key uint64) {
	if e, ok := l.slots[key]; ok {
		e.Value.(*slot).pins--
	}
}

func (l *lru) shrink() {
	e := l.order.Back()
	for len(l.slots) > l.room && e != nil {
		previous := e.Prev()
		if s := e.Value.(*slot); s.pins == 0 && previous != nil {
			l.order.Remove(e)
			delete(l.slots, s.key)
			l.evicted(s.key)
		}
		e = previous
	}
}

// drop forgets everything without telling anyone.
func (l *lru) drop() {
	l.order.Init()
	clear(l.slots)
}

// keys returns what is held, most recently used first.
func (l *lru) keys() []uint64 {
	all := make([]uint64, 0, len(l.slots))
	for e := l.order.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*slot).key)
	}
	return all
}
