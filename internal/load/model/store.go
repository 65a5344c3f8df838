package model

import (
	"time"

	"hornbeamwood/internal/policy/route"
)

// storeTimeout is how long an engine waits for a store that does not respond.
const storeTimeout = 500 * time.Millisecond

// store simulates a store VM: two tiers behind one link.
type store struct {
	index      int
	clock      *clock
	link       transferQueue
	disk       transferQueue
	memory     *lru
	onDisk     *lru
	down       bool
	generation int // incremented with each loss of the content
	changed    func(key uint64, held bool, tier route.Tier)
}

func newStore(index int, c *clock, p Profile, changed func(uint64, bool, route.Tier)) *store {
	s := &store{index: index, clock: c, changed: changed}
	s.link = transferQueue{clock: c, rate: p.LinkRate}
	s.disk = transferQueue{clock: c, rate: p.DiskRate}
	s.onDisk = newLRU(p.DiskPieces, s.diskEvicted)
	s.memory = newLRU(p.MemoryPieces, s.demote)
	return s
}

// diskEvicted publishes the eviction of a piece from disk, unless memory still holds it.
func (s *store) diskEvicted(key uint64) {
	if !s.memory.has(key) {
		s.changed(key, false, route.Disk)
	}
}

// demote moves a piece from memory to disk.
func (s *store) demote(key uint64) {
	s.onDisk.add(key)
	s.changed(key, true, route.Disk)
}

func (s *store) has(key uint64) bool {
	return s.memory.has(key) || s.onDisk.has(key)
}

// read transfers a piece to an engine; done reports whether it arrived complete.
func (s *store) read(key uint64, bytes int64, done func(ok bool)) {
	if s.down {
		s.clock.after(storeTimeout, func() { done(false) })
		return
	}
	generation := s.generation
	arrived := func() { done(!s.down && s.generation == generation && s.has(key)) }
	if s.memory.touch(key) {
		s.link.send(bytes, arrived)
		return
	}
	if !s.onDisk.touch(key) {
		s.clock.after(time.Millisecond, func() { done(false) })
		return
	}
	s.disk.send(bytes, func() { s.link.send(bytes, func() { s.promote(key); arrived() }) })
}

// promote moves a piece that was read from disk to memory.
func (s *store) promote(key uint64) {
	if s.onDisk.has(key) && s.memory.add(key) {
		s.changed(key, true, route.Memory)
	}
}

// write transfers a piece from an engine; it can be read only once it is complete.
func (s *store) write(key uint64, bytes int64, tier route.Tier) {
	if s.down || s.has(key) {
		return
	}
	generation := s.generation
	s.link.send(bytes, func() {
		if s.down || s.generation != generation {
			return
		}
		s.keep(key, tier)
	})
}

func (s *store) keep(key uint64, tier route.Tier) {
	if tier == route.Disk {
		s.onDisk.add(key)
	} else {
		s.memory.add(key)
	}
	s.changed(key, true, tier)
}

// crash loses the content; transfers in progress fail.
func (s *store) crash() {
	s.down = true
	s.generation++
	s.memory.reset()
	s.onDisk.reset()
}

// restart restarts the store with empty tiers.
func (s *store) restart() {
	s.down = false
}
