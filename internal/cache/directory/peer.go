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

// peers maps identities to peers; indexes are never reused, so that a location can't name another peer.
type peers struct {
	mu    sync.RWMutex
	named map[string]*peer
	all   atomic.Pointer[[]*peer]
	limit int
}

func newPeers(limit int) *peers {
	p := &peers{named: map[string]*peer{}, limit: limit}
	p.all.Store(&[]*peer{})
	return p
}

// get returns the peer of an identity and nil when it is not known.
func (p *peers) get(identity string) *peer {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.named[identity]
}

// add returns the peer of an identity, a new one where it is not known, and nil when there are too many.
func (p *peers) add(identity string) *peer {
	if known := p.get(identity); known != nil {
		return known
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.named[identity]; ok {
		return known
	}
	old := *p.all.Load()
	if len(old) >= p.limit {
		return nil
	}
	n := &peer{identity: identity, index: uint16(len(old))}
	n.believed.Store(true)
	next := append(append(make([]*peer, 0, len(old)+1), old...), n)
	p.all.Store(&next)
	p.named[identity] = n
	return n
}
