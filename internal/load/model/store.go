package model

import (
	"time"

	"hornbeamwood/internal/policy/route"
)

// lostAfter is how long an engine waits for a store that doesn't answer.
const lostAfter = 500 * time.Millisecond

// store is the fake of a store VM: two tiers behind one link.
type store struct {
	index      int
	clock      *clock
	link       pipe
	disk       pipe
	memory     *lru
	onDisk     *lru
	dead       bool
	generation int // a larger number with each loss of the content
	changed    func(key uint64, held bool, tier route.Tier)
}

func newStore(index int, c *clock, p Profile, changed func(uint64, bool, route.Tier)) *store {
	s := &store{index: index, clock: c, changed: changed}
	s.link = pipe{clock: c, rate: p.LinkRate}
	s.disk = pipe{clock: c, rate: p.DiskRate}
	s.onDisk = newLRU(p.DiskPieces, s.dropped)
	s.memory = newLRU(p.MemoryPieces, s.demote)
	return s
}

// dropped tells of a piece that left the disk, unless memory holds it still.
func (s *store) dropped(key uint64) {
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

// read transfers a piece to an engine; done tells whether it arrived whole.
func (s *store) read(key uint64, bytes int64, done func(ok bool)) {
	if s.dead {
		s.clock.after(lostAfter, func() { done(false) })
		return
	}
	generation := s.generation
	arrived := func() { done(!s.dead && s.generation == generation && s.has(key)) }
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

// write transfers a piece from an engine; it is readable only once it is whole.
func (s *store) write(key uint64, bytes int64, tier route.Tier) {
	if s.dead || s.has(key) {
		return
	}
	generation := s.generation
	s.link.send(bytes, func() {
		if s.dead || s.generation != generation {
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

// die loses the content; transfers under way end as failed.
func (s *store) die() {
	s.dead = true
	s.generation++
	s.memory.drop()
	s.onDisk.drop()
}

// revive brings the store back cold.
func (s *store) revive() {
	s.dead = false
}
