package directory

import (
	"slices"
	"sync"
	"sync/atomic"
)

// peers maps identities to peers.
//
// The index of a removed peer is reused with a higher epoch, so that stale
// locations of the removed peer don't refer to the new one.
type peers struct {
	mu         sync.RWMutex
	byIdentity map[string]*peer
	free       []uint16
	all        atomic.Pointer[[]*peer]
	limit      int
}

func newPeers(limit int) *peers {
	p := &peers{byIdentity: map[string]*peer{}, limit: limit}
	p.all.Store(&[]*peer{})
	return p
}

// get returns the peer with the given identity, or nil.
func (p *peers) get(identity string) *peer {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.byIdentity[identity]
}

// getOrCreate returns the peer with the given identity and sets its last contact to millis. It
// creates the peer if it is unknown, and returns nil if there are too many.
func (p *peers) getOrCreate(identity string, millis uint64) *peer {
	known := p.get(identity)
	if known == nil {
		known = p.create(identity)
	}
	if known != nil {
		known.lastSeen.Store(millis)
	}
	return known
}

func (p *peers) create(identity string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.byIdentity[identity]; ok {
		return known
	}
	if len(p.byIdentity) >= p.limit {
		return nil
	}
	n := &peer{identity: identity}
	n.consistent.Store(true)
	all := slices.Clone(*p.all.Load())
	if last := len(p.free) - 1; last >= 0 {
		n.index = p.free[last]
		p.free = p.free[:last]
		n.epoch.Store(all[n.index].epoch.Load() + 1)
		all[n.index] = n
	} else {
		n.index = uint16(len(all))
		all = append(all, n)
	}
	p.all.Store(&all)
	p.byIdentity[identity] = n
	return n
}

// forget removes the peers that were last seen before the given time and returns their indexes.
func (p *peers) forget(before uint64) []uint16 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var removed []uint16
	for identity, n := range p.byIdentity {
		if n.lastSeen.Load() >= before {
			continue
		}
		n.epoch.Add(1)
		delete(p.byIdentity, identity)
		p.free = append(p.free, n.index)
		removed = append(removed, n.index)
	}
	return removed
}
