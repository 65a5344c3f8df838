package directory

import (
	"sync/atomic"
	"time"

	"hornbeamwood/internal/cache/block"
)

// Directory holds this node's share of the locations.
type Directory interface {
	// Update takes in a batch of an engine's events.
	Update(now time.Time, u Update) Effect
	// Listing takes in a part of an engine's listing.
	Listing(now time.Time, l ListingPart) Effect
	// Store takes in a step in the life of a piece in a store.
	Store(now time.Time, c StoreChange) Effect
	// Pin keeps a sealed piece from being freed until the pin's deadline; Refused means that the piece must not be read.
	Pin(now time.Time, p Pin) Effect
	// Unpin takes a pin back.
	Unpin(now time.Time, p Pin) Effect
	// Deletable returns pieces that are freeing and have no pin left; the caller deletes them at their stores and reports Freed.
	Deletable(now time.Time) []Deletion
	// Lookup returns the locations of the keys, in their order; only sealed pieces and believed engines count.
	Lookup(keys []block.Key) Locations
	// Restarted tells the incarnation that an engine or store announces and voids what is known of an older one; who is not heard of for long is forgotten.
	Restarted(now time.Time, identity string, incarnation uint64) Effect
	// Lose stops believing what is known of all engines until listings come, for when keys have moved between nodes.
	Lose(now time.Time)
	// Sweep frees the memory of what counts no more, a part of it with each call.
	Sweep(now time.Time)
	// Size returns the number of pieces and of locations.
	Size() (pieces, locations int)
}

type directory struct {
	config Config
	peers  *peers
	shards [shardCount]*shard
	count  atomic.Int64
	pins   pins
	freed  freeing
	swept  atomic.Uint32
}

// New returns an empty Directory.
func New(c Config) Directory {
	c = c.withDefaults()
	d := &directory{config: c, peers: newPeers(min(c.Servers, 1<<16-1))}
	for i := range d.shards {
		d.shards[i] = newShard(&d.count, c.Pieces)
	}
	d.pins.held = map[pinned][]pin{}
	d.freed.waiting = map[pinned]Deletion{}
	return d
}

// shard returns the shard of a key; the byte is not part of what places keys on nodes.
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
	for i := s.heads[short(k)]; i != 0; {
		l := s.slab.at(i)
		i = l.next
		if int(l.peer) >= len(peers) {
			continue
		}
		p := peers[l.peer]
		if l.epoch != p.currentEpoch() || !p.believed.Load() {
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

// Restarted implements Directory.
func (d *directory) Restarted(now time.Time, identity string, incarnation uint64) Effect {
	p := d.peers.get(identity)
	if p == nil {
		return Effect{Outcome: Known}
	}
	p.touched.Store(d.millis(now))
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.restart(incarnation) {
		return Effect{Outcome: Known}
	}
	p.settle(now)
	return Effect{Outcome: Applied, Restarted: true}
}

// Lose implements Directory.
func (d *directory) Lose(now time.Time) {
	for _, p := range *d.peers.all.Load() {
		p.mu.Lock()
		p.lost = p.engine
		p.settle(now)
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
