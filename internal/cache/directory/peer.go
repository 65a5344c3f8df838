package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/cache/block"
)

// peer is the state of one engine or store.
type peer struct {
	identity string
	index    uint16
	// epoch is incremented to invalidate all locations of the peer; locations of other epochs are stale.
	epoch atomic.Uint32
	// consistent is false while the peer's locations must not be used because events are missing.
	consistent atomic.Bool
	// lastSeen is when the peer was last seen, in milliseconds since the start.
	lastSeen atomic.Uint64

	mu               sync.Mutex
	engine           bool
	incarnation      uint64
	applied          uint64
	needsListing     bool
	batches          []Update
	gapSince         time.Time
	listingRequested time.Time
	listing          partialListing
}

// partialListing collects the parts of one listing.
type partialListing struct {
	sequence uint64
	parts    map[int][]block.Key
	keys     int
}

func (p *peer) currentEpoch() uint16 {
	return uint16(p.epoch.Load())
}

// reset invalidates all locations of the peer.
func (p *peer) reset(incarnation uint64) {
	p.epoch.Add(1)
	p.incarnation = incarnation
	p.applied = 0
	p.needsListing = false
	p.batches = nil
	p.gapSince = time.Time{}
	p.listing = partialListing{}
}

// updateConsistency updates consistent and the start of the gap.
func (p *peer) updateConsistency(now time.Time) {
	consistent := !p.needsListing && len(p.batches) == 0
	if consistent {
		p.gapSince = time.Time{}
	} else if p.gapSince.IsZero() {
		p.gapSince = now
	}
	p.consistent.Store(consistent)
}
