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

// A store crashes while an engine reads from it and restarts empty. The bytes that had arrived are
// not a complete piece and must not be used.
func TestReadFailsAfterStoreLoss(t *testing.T) {
	c := &clock{}
	s := newTestStore(c, 4, 4)
	s.keep(1, route.Memory)
	arrived, whole := false, false
	s.read(1, 100, func(ok bool) { arrived, whole = true, ok })
	c.after(500*time.Millisecond, s.crash)
	c.after(600*time.Millisecond, s.restart)
	c.runUntil(2 * time.Second)
	if !arrived || whole {
		t.Errorf("arrived %v, whole %v", arrived, whole)
	}
}

// A store loses its content during an export. The piece must not appear afterwards as if it had
// been written completely.
func TestWriteIsLostAfterStoreLoss(t *testing.T) {
	c := &clock{}
	s := newTestStore(c, 4, 4)
	s.write(1, 100, route.Memory)
	c.after(500*time.Millisecond, s.crash)
	c.after(600*time.Millisecond, s.restart)
	c.runUntil(2 * time.Second)
	if s.has(1) {
		t.Error("the store holds a piece whose write was interrupted")
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
		t.Errorf("order %v at %v: the piece in memory takes 1 s on the link, the one on disk first takes 2 s on the disk", order, at)
	}
}
