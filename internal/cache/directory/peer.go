package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/cache/block"
)

// peer is what the directory knows of one engine or store as a whole.
type peer struct {
	identity string
	index    uint16
	// epoch is raised when everything that was known of the peer is void; locations of other epochs count no more.
	epoch atomic.Uint32
	// believed is false while events are missing.
	believed atomic.Bool
	// touched is when the peer was last heard of, in milliseconds since the start.
	touched atomic.Uint64

	mu          sync.Mutex
	engine      bool
	incarnation uint64
	applied     uint64
	lost        bool
	batches     []Update
	gapSince    time.Time
	asked       time.Time
	listing     assembly
}

// assembly collects the parts of one listing.
type assembly struct {
	sequence uint64
	parts    map[int][]block.Key
	keys     int
}

func (p *peer) currentEpoch() uint16 {
	return uint16(p.epoch.Load())
}

// reset voids everything that was known of the peer.
func (p *peer) reset(incarnation uint64) {
	p.epoch.Add(1)
	p.incarnation = incarnation
	p.applied = 0
	p.lost = false
	p.batches = nil
	p.gapSince = time.Time{}
	p.listing = assembly{}
}

// settle sets whether the peer is believed.
func (p *peer) settle(now time.Time) {
	believed := !p.lost && len(p.batches) == 0
	if believed {
		p.gapSince = time.Time{}
	} else if p.gapSince.IsZero() {
		p.gapSince = now
	}
	p.believed.Store(believed)
}
