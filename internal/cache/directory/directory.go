package directory

import (
	"sync/atomic"
	"time"

	"hornbeamwood/internal/cache/block"
)

// Directory holds the locations of this node's share of the keys.
type Directory interface {
	// Update applies a batch of an engine's events.
	Update(now time.Time, u Update) Effect
	// Listing adds a part of an engine's listing.
	Listing(now time.Time, l ListingPart) Effect
	// Store applies a state change of a piece in a store.
	Store(now time.Time, c StoreChange) Effect
	// Pin protects a sealed piece from deletion until the pin's deadline; Refused means that the piece must not be read.
	Pin(now time.Time, p Pin) Effect
	// Unpin removes a pin.
	Unpin(now time.Time, p Pin) Effect
	// Deletable returns the pieces in the Freeing state without pins; the caller deletes them at their stores and reports Freed.
	Deletable(now time.Time) []Deletion
	// Lookup returns the locations of the keys, in their order; it includes only sealed pieces and engines without an event gap.
	Lookup(keys []block.Key) Locations
	// ObserveIncarnation records the incarnation that an engine or store announces, and invalidates the locations of an older one. It also updates the time of last contact, after which Sweep removes the engine or store.
	ObserveIncarnation(now time.Time, identity string, incarnation uint64) Effect
	// InvalidateEngines invalidates the locations of all engines until new listings arrive, for use after keys have moved between nodes.
	InvalidateEngines(now time.Time)
	// Sweep frees the memory of stale locations in some of the shards; successive calls cover all shards.
	Sweep(now time.Time)
	// Size returns the number of pieces and of locations.
	Size() (pieces, locations int)
}

type directory struct {
	config    Config
	peers     *peers
	shards    [shardCount]*shard
	count     atomic.Int64
	pins      pins
	deletions deletions
	swept     atomic.Uint32
}

// New returns an empty Directory.
func New(c Config) Directory {
	c = c.withDefaults()
	d := &directory{config: c, peers: newPeers(min(c.Servers, 1<<16-1))}
	for i := range d.shards {
		d.shards[i] = newShard(&d.count, c.Locations)
	}
	d.pins.byKey = map[pinKey][]pin{}
	d.deletions.pending = map[pinKey]Deletion{}
	return d
}

// shard returns the shard of a key; the byte that selects it is not used to place keys on nodes.
func (d *directory) shard(k block.Key) *shard {
	return d.shards[k[15]%shardCount]
}

// Lookup implements Directory.
func (d *directory) Lookup(keys []block.Key) Locations {
	all := make(Locations, len(keys))
	peers := *d.peers.all.Load()
	for i, k := range keys {
		all[i] = d.locate(peers, k)
	}
	return all
}

func (d *directory) locate(peers []*peer, k block.Key) Location {
	var found Location
	s := d.shard(k)
	s.mu.RLock()
	defer s.mu.RUnlock()
	for i := s.heads[prefix(k)]; i != 0; {
		l := s.slab.at(i)
		i = l.next
		if int(l.peer) >= len(peers) {
			continue
		}
		p := peers[l.peer]
		if l.epoch != p.currentEpoch() || !p.consistent.Load() {
			continue
		}
		switch l.state {
		case held:
			found.Engines = append(found.Engines, p.identity)
		case Sealed:
			found.Stores = append(found.Stores, l.stored(p.identity))
		}
	}
	return found
}

func (l *location) stored(identity string) Stored {
	return Stored{Store: identity, Tier: l.tier, Generation: l.number, Bytes: int64(l.bytes)}
}

// ObserveIncarnation implements Directory.
func (d *directory) ObserveIncarnation(now time.Time, identity string, incarnation uint64) Effect {
	p := d.peers.get(identity)
	if p == nil {
		return Effect{Outcome: Known}
	}
	p.lastSeen.Store(d.millis(now))
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.restart(incarnation) {
		return Effect{Outcome: Known}
	}
	p.updateConsistency(now)
	return Effect{Outcome: Applied, Restarted: true}
}

// InvalidateEngines implements Directory.
func (d *directory) InvalidateEngines(now time.Time) {
	for _, p := range *d.peers.all.Load() {
		p.mu.Lock()
		p.needsListing = p.engine
		p.updateConsistency(now)
		p.mu.Unlock()
	}
}

// Size implements Directory.
func (d *directory) Size() (pieces, locations int) {
	for _, s := range d.shards {
		s.mu.RLock()
		pieces += len(s.heads)
		s.mu.RUnlock()
	}
	return pieces, int(d.count.Load())
}
