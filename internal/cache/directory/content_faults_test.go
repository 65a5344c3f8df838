package directory

import (
	"fmt"
	"time"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/events"
)

// post sends the message to both holders; each copy may be delayed, duplicated or lost independently.
func (sim *cacheSimulation) post(k block.Key, m Message) {
	for _, e := range sim.ring.ToHolders(k, m) {
		sim.send(int(e.To[0]-'0'), e.Message)
	}
}

func (sim *cacheSimulation) send(to int, m Message) {
	for range []int{0, 1, 1, 1, 1, 1, 1, 2}[sim.r.IntN(8)] {
		delay := time.Duration(sim.r.IntN(100)) * time.Millisecond
		if sim.r.IntN(6) == 0 {
			delay = time.Duration(sim.r.IntN(8000)) * time.Millisecond
		}
		sim.inFlight = append(sim.inFlight, delivery{at: sim.now.Add(delay), to: to, m: m})
	}
}

func (sim *cacheSimulation) deliver() {
	due := sim.inFlight
	sim.inFlight = nil
	for _, d := range due {
		if d.at.After(sim.now) {
			sim.inFlight = append(sim.inFlight, d)
			continue
		}
		e := Serve(sim.holders[d.to], sim.now, d.m).Effect
		if e.ListingWanted {
			sim.wanted[d.m.Update.Engine] = true
		}
		sim.recordFreed(d, e)
	}
}

func (sim *cacheSimulation) recordFreed(d delivery, e Effect) {
	c := d.m.Store
	if c != nil && c.To == Freed && e.Outcome == Applied {
		sim.reportedFreed[d.to][c.Store+c.Key.String()] = c.Generation
	}
}

// export writes a piece that an engine holds, in steps; some writes are aborted.
func (sim *cacheSimulation) export() {
	e, s := sim.engines[sim.r.IntN(2)], sim.stores[sim.r.IntN(2)]
	for _, k := range ordered(s.uploads) {
		if sim.r.IntN(2) == 0 {
			sim.continueExport(s, s.uploads[k])
			return
		}
	}
	k, ok := sim.pick(ordered(e.memory))
	if !ok {
		return
	}
	sim.post(k, Message{Store: sim.change(s.identity, k, Writing, 0)})
	if _, ok := s.begin(k, e.memory[k]); !ok {
		c := sim.change(s.identity, k, Writing, 0)
		c.Failed = true
		sim.post(k, Message{Store: c})
	}
}

func (sim *cacheSimulation) pick(keys []block.Key) (block.Key, bool) {
	if len(keys) == 0 {
		return block.Key{}, false
	}
	return keys[sim.r.IntN(len(keys))], true
}

func (sim *cacheSimulation) continueExport(s *fakeStore, u *upload) {
	if sim.r.IntN(6) == 0 {
		delete(s.uploads, u.key)
		return
	}
	u.sent = min(len(u.data), u.sent+64)
	if u.sent < len(u.data) {
		return
	}
	if o, ok := s.finish(u); ok {
		sim.post(u.key, Message{Store: sim.change(s.identity, u.key, Sealed, o.generation)})
	}
}

func (sim *cacheSimulation) sendReport() {
	sim.distribute(sim.engines[sim.r.IntN(2)].report())
}

func (sim *cacheSimulation) sendListings() {
	for _, e := range sim.engines {
		if !sim.wanted[e.identity] {
			continue
		}
		delete(sim.wanted, e.identity)
		sim.distribute(e.report())
		for _, r := range e.listing() {
			sim.distribute(r)
		}
	}
}

func (sim *cacheSimulation) distribute(r events.Report) {
	for _, m := range sim.ring.Distribute(r) {
		sim.send(int(m.To[0]-'0'), m.Message)
	}
}

// free sends the holders the Freeing change of a sealed piece.
func (sim *cacheSimulation) free() {
	s := sim.stores[sim.r.IntN(2)]
	if k, ok := sim.pick(ordered(s.objects)); ok {
		sim.post(k, Message{Store: sim.change(s.identity, k, Freeing, s.objects[k].generation)})
	}
}

// deleteFreed deletes the pieces that a holder returns as deletable and checks that no reader with a pin of that holder is reading them.
func (sim *cacheSimulation) deleteFreed() {
	h := sim.r.IntN(2)
	for _, d := range sim.holders[h].Deletable(sim.now) {
		sim.checkPins(h, d)
		sim.store(d.Store).remove(d.Key, d.Generation)
		sim.post(d.Key, Message{Store: sim.change(d.Store, d.Key, Freed, d.Generation)})
	}
}

// checkPins fails if a reader is still reading with a pin that the holder granted.
func (sim *cacheSimulation) checkPins(h int, d Deletion) {
	for _, r := range sim.runs {
		same := r.pin.Store == d.Store && r.pin.Key == d.Key && r.pin.Generation == d.Generation
		if r.reading != nil && same && r.holder == h && sim.now.Before(r.until) {
			sim.fault = fmt.Sprintf("holder %d allows the deletion of a piece that it pinned for a reader", h)
		}
	}
}

// injectFault injects a random fault.
func (sim *cacheSimulation) injectFault() {
	e, s := sim.engines[sim.r.IntN(2)], sim.stores[sim.r.IntN(2)]
	switch sim.r.IntN(12) {
	case 0:
		e.restart()
	case 1:
		s.restart()
	case 2:
		sim.version++
	case 3, 4:
		if k, ok := sim.pick(ordered(s.objects)); ok {
			s.remove(k, 0)
		}
	case 5:
		sim.holders[sim.r.IntN(2)].Sweep(sim.now)
	default:
		e.evict(block.Key{byte(sim.r.IntN(256))})
	}
}

// checkLookup compares the answer with the deletions reported to the holder and with the generations that the stores ever sealed.
func (sim *cacheSimulation) checkLookup(h int, k block.Key, found Location) {
	for _, at := range found.Stores {
		if at.Generation <= sim.reportedFreed[h][at.Store+k.String()] {
			sim.fault = fmt.Sprintf("holder %d returns generation %d of a piece in %s that was reported to it as freed", h, at.Generation, at.Store)
		}
		s := sim.store(at.Store)
		sealed := s.objects[k].generation == at.Generation || s.everFreed[k] >= at.Generation
		if !sealed {
			sim.fault = fmt.Sprintf("holder %d returns generation %d in %s, which was never sealed", h, at.Generation, at.Store)
		}
	}
}

// check audits the location lists and counts of all holders.
func (sim *cacheSimulation) check() {
	for h, d := range sim.holders {
		if fault := d.(*directory).audit(); fault != "" {
			sim.fault = fmt.Sprintf("holder %d: %s", h, fault)
		}
	}
}

// audit returns the first fault of the location lists, or the empty string.
func (d *directory) audit() string {
	total := 0
	for _, s := range d.shards {
		for k, i := range s.heads {
			if i == 0 {
				return fmt.Sprintf("piece %x has an empty list", k)
			}
			seen := map[location]bool{}
			for ; i != 0; i = s.slab.at(i).next {
				l := location{peer: s.slab.at(i).peer, epoch: s.slab.at(i).epoch, state: s.slab.at(i).state}
				if seen[l] {
					return fmt.Sprintf("piece %x has the location %+v twice", k, l)
				}
				seen[l] = true
				total++
			}
		}
	}
	if total != int(d.count.Load()) {
		return fmt.Sprintf("the count is %d, but there are %d locations", d.count.Load(), total)
	}
	return ""
}
