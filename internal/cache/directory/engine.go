package directory

import (
	"slices"
	"time"

	"hornbeamwood/internal/cache/block"
)

// Update implements Directory.
//
// Batches are applied only in the order of their numbers. Otherwise a late
// insertion would restore a piece whose eviction arrived first, and requests
// would be sent to an engine that has to recompute it.
func (d *directory) Update(now time.Time, u Update) Effect {
	p := d.peers.getOrCreate(u.Engine, d.millis(now))
	if p == nil {
		return Effect{Outcome: Refused}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if u.Incarnation < p.incarnation {
		return Effect{Outcome: Outdated}
	}
	p.engine = true
	restarted := p.restart(u.Incarnation)
	outcome := d.applyOrBuffer(p, u)
	p.updateConsistency(now)
	return Effect{
		Outcome:       outcome,
		Restarted:     restarted,
		Gap:           !p.consistent.Load(),
		ListingWanted: d.wantsListing(p, now),
	}
}

// restart invalidates the known locations if the incarnation is newer, and reports whether an older incarnation was known.
func (p *peer) restart(incarnation uint64) bool {
	if incarnation <= p.incarnation {
		return false
	}
	known := p.incarnation > 0
	p.reset(incarnation)
	return known
}

// applyOrBuffer applies the batch, or buffers it if earlier events are missing.
func (d *directory) applyOrBuffer(p *peer, u Update) Outcome {
	if u.First > p.applied+1 {
		p.buffer(u)
		return Buffered
	}
	if u.Count > 0 && u.next() <= p.applied+1 {
		return Known
	}
	d.apply(p, u)
	d.applyBuffered(p)
	return Applied
}

// buffer stores the batch in order. If there are too many, the oldest one is dropped; the listing that closes the gap will be newer.
func (p *peer) buffer(u Update) {
	i, found := slices.BinarySearchFunc(p.batches, u.First, func(b Update, first uint64) int {
		switch {
		case b.First < first:
			return -1
		case b.First > first:
			return 1
		}
		return 0
	})
	if found {
		if u.Count > p.batches[i].Count {
			p.batches[i] = u
		}
		return
	}
	p.batches = slices.Insert(p.batches, i, u)
	if len(p.batches) > maxBatches {
		p.batches = slices.Delete(p.batches, 0, 1)
	}
}

// applyBuffered applies the buffered batches that follow without a gap.
func (d *directory) applyBuffered(p *peer) {
	for len(p.batches) > 0 && p.batches[0].First <= p.applied+1 {
		d.apply(p, p.batches[0])
		p.batches = p.batches[1:]
	}
}

func (d *directory) apply(p *peer, u Update) {
	for _, c := range u.Changes {
		if u.First+c.Offset <= p.applied || c.Offset >= u.Count {
			continue
		}
		if c.Evicted {
			d.evict(p, c.Key)
		} else {
			d.insert(p, c.Key)
		}
	}
	if u.Count > 0 {
		p.applied = max(p.applied, u.next()-1)
	}
}

func (d *directory) insert(p *peer, k block.Key) {
	epoch := p.currentEpoch()
	s := d.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.find(prefix(k), matchPeer(p, epoch, held)) != nil {
		return
	}
	s.put(prefix(k), location{peer: p.index, epoch: epoch, state: held})
}

func (d *directory) evict(p *peer, k block.Key) {
	s := d.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(prefix(k), func(l *location) bool { return l.peer == p.index && l.state == held })
}

func matchPeer(p *peer, epoch uint16, states ...State) func(l *location) bool {
	return func(l *location) bool {
		return l.peer == p.index && l.epoch == epoch && slices.Contains(states, l.state)
	}
}

// wantsListing reports whether to request a listing now.
func (d *directory) wantsListing(p *peer, now time.Time) bool {
	if p.consistent.Load() || now.Sub(p.gapSince) < d.config.GapTimeout {
		return false
	}
	if now.Sub(p.listingRequested) < d.config.ListingInterval {
		return false
	}
	p.listingRequested = now
	return true
}

// Listing implements Directory.
func (d *directory) Listing(now time.Time, l ListingPart) Effect {
	p := d.peers.getOrCreate(l.Engine, d.millis(now))
	if p == nil {
		return Effect{Outcome: Refused}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Incarnation < p.incarnation {
		return Effect{Outcome: Outdated}
	}
	p.engine = true
	restarted := p.restart(l.Incarnation)
	outcome := d.collect(p, l)
	p.updateConsistency(now)
	return Effect{Outcome: outcome, Restarted: restarted, Gap: !p.consistent.Load()}
}

// collect adds the part, and replaces the engine's locations once all parts are there.
func (d *directory) collect(p *peer, l ListingPart) Outcome {
	if l.Sequence < p.applied || (l.Sequence == p.applied && !p.needsListing) {
		return Known
	}
	if l.Sequence < p.listing.sequence {
		return Outdated
	}
	if l.Sequence > p.listing.sequence || p.listing.parts == nil {
		p.listing = partialListing{sequence: l.Sequence, parts: map[int][]block.Key{}}
	}
	a := &p.listing
	if _, ok := a.parts[l.Part]; ok {
		return Known
	}
	if a.keys+len(l.Keys) > d.config.Listing {
		return Refused
	}
	a.parts[l.Part] = l.Keys
	a.keys += len(l.Keys)
	if len(a.parts) < l.Parts {
		return Buffered
	}
	d.replace(p)
	return Applied
}

// replace replaces the engine's locations by a complete listing and then applies the events after it.
func (d *directory) replace(p *peer) {
	a := p.listing
	p.epoch.Add(1)
	p.listing = partialListing{}
	p.applied = a.sequence
	p.needsListing = false
	for _, keys := range a.parts {
		for _, k := range keys {
			d.insert(p, k)
		}
	}
	p.batches = slices.DeleteFunc(p.batches, func(u Update) bool { return u.next() <= p.applied+1 })
	d.applyBuffered(p)
}
