package directory

import (
	"slices"
	"sync"
	"sync/atomic"
)

// peers maps identities to peers.
//
// The index of a forgotten peer is used again with a higher epoch, so that
// locations of the forgotten one can't name the new one.
type peers struct {
	mu    sync.RWMutex
	named map[string]*peer
	free  []uint16
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
func (p *peers) add(identity string, millis uint64) *peer {
	known := p.get(identity)
	if known == nil {
		known = p.create(identity)
	}
	if known != nil {
		known.touched.Store(millis)
	}
	return known
}

func (p *peers) create(identity string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.named[identity]; ok {
		return known
	}
	if len(p.named) >= p.limit {
		return nil
	}
	n := &peer{identity: identity}
	n.believed.Store(true)
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
	p.named[identity] = n
	return n
}

// forget removes the peers that were not heard of since the given time and returns their indexes.
func (p *peers) forget(before uint64) []uint16 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var gone []uint16
	for identity, n := range p.named {
		if n.touched.Load() >= before {
			continue
		}
		n.epoch.Add(1)
		delete(p.named, identity)
		p.free = append(p.free, n.index)
		gone = append(gone, n.index)
	}
	return gone
}
