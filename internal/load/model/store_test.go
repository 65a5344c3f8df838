package model

import (
	"testing"
	"time"

	"hornbeamwood/internal/policy/route"
)

func newTestStore(c *clock, memory, disk int) *store {
	p := DefaultProfile()
	p.LinkRate, p.DiskRate = 100, 50
	p.MemoryPieces, p.DiskPieces = memory, disk
	return newStore(0, c, p, func(uint64, bool, route.Tier) {})
}

// A store dies while an engine reads from it and comes back cold. The bytes
// that had arrived are no whole piece and must not be used.
func TestReadAcrossALossFails(t *testing.T) {
	c := &clock{}
	s := newTestStore(c, 4, 4)
	s.keep(1, route.Memory)
	arrived, whole := false, false
	s.read(1, 100, func(ok bool) { arrived, whole = true, ok })
	c.after(500*time.Millisecond, s.die)
	c.after(600*time.Millisecond, s.revive)
	c.runUntil(2 * time.Second)
	if !arrived || whole {
		t.Errorf("arrived %v, whole %v", arrived, whole)
	}
}

// An export is under way when the store loses everything. The piece must not
// appear afterwards as if it had been written whole.
func TestWriteAcrossALossIsLost(t *testing.T) {
	c := &clock{}
	s := newTestStore(c, 4, 4)
	s.write(1, 100, route.Memory)
	c.after(500*time.Millisecond, s.die)
	c.after(600*time.Millisecond, s.revive)
	c.runUntil(2 * time.Second)
	if s.has(1) {
		t.Error("the store holds a piece that was cut")
	}
}

func TestTransfersShareTheLink(t *testing.T) {
	c := &clock{}
	s := newTestStore(c, 1, 4)
	s.keep(1, route.Memory)
	s.keep(2, route.Memory)
	var order []uint64
	var at []time.Duration
	read := func(key uint64) {
		s.read(key, 100, func(ok bool) {
			if ok {
				order, at = append(order, key), append(at, c.now)
			}
		})
	}
	read(1)
	read(2)
	c.runUntil(10 * time.Second)
	if len(order) != 2 || order[0] != 2 || at[0] != time.Second || at[1] != 3*time.Second {
		t.Errorf("order %v at %v: the piece in memory takes 1 s of the link, the one on disk 2 s of the disk before", order, at)
	}
}
