package directory

import (
	"fmt"
	"time"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/events"
)

// post sends the message to both holders; each copy may be delayed, duplicated or lost independently.
func (w *cacheSimulation) post(k block.Key, m Message) {
	for _, e := range w.ring.ToHolders(k, m) {
		w.send(int(e.To[0]-'0'), e.Message)
	}
}

func (w *cacheSimulation) send(to int, m Message) {
	for range []int{0, 1, 1, 1, 1, 1, 1, 2}[w.r.IntN(8)] {
		delay := time.Duration(w.r.IntN(100)) * time.Millisecond
		if w.r.IntN(6) == 0 {
			delay = time.Duration(w.r.IntN(8000)) * time.Millisecond
		}
		w.inFlight = append(w.inFlight, delivery{at: w.now.Add(delay), to: to, m: m})
	}
}

func (w *cacheSimulation) deliver() {
	due := w.inFlight
	w.inFlight = nil
	for _, p := range due {
		if p.at.After(w.now) {
			w.inFlight = append(w.inFlight, p)
			continue
		}
		e := Serve(w.holders[p.to], w.now, p.m).Effect
		if e.ListingWanted {
			w.wanted[p.m.Update.Engine] = true
		}
		w.recordFreed(p, e)
	}
}

func (w *cacheSimulation) recordFreed(p delivery, e Effect) {
	c := p.m.Store
	if c != nil && c.To == Freed && e.Outcome == Applied {
		w.reportedFreed[p.to][c.Store+c.Key.String()] = c.Generation
	}
}

// export writes a piece that an engine holds, in steps; some writes are aborted.
func (w *cacheSimulation) export() {
	e, s := w.engines[w.r.IntN(2)], w.stores[w.r.IntN(2)]
	for _, k := range ordered(s.uploads) {
		if w.r.IntN(2) == 0 {
			w.continueExport(s, s.uploads[k])
			return
		}
	}
	k, ok := w.pick(ordered(e.memory))
	if !ok {
		return
	}
	w.post(k, Message{Store: w.change(s.identity, k, Writing, 0)})
	if _, ok := s.begin(k, e.memory[k]); !ok {
		c := w.change(s.identity, k, Writing, 0)
		c.Failed = true
		w.post(k, Message{Store: c})
	}
}

func (w *cacheSimulation) pick(keys []block.Key) (block.Key, bool) {
	if len(keys) == 0 {
		return block.Key{}, false
	}
	return keys[w.r.IntN(len(keys))], true
}

func (w *cacheSimulation) continueExport(s *fakeStore, u *upload) {
	if w.r.IntN(6) == 0 {
		delete(s.uploads, u.key)
		return
	}
	u.sent = min(len(u.data), u.sent+64)
	if u.sent < len(u.data) {
		return
	}
	if o, ok := s.finish(u); ok {
		w.post(u.key, Message{Store: w.change(s.identity, u.key, Sealed, o.generation)})
	}
}

func (w *cacheSimulation) sendReport() {
	w.distribute(w.engines[w.r.IntN(2)].report())
}

func (w *cacheSimulation) sendListings() {
	for _, e := range w.engines {
		if !w.wanted[e.identity] {
			continue
		}
		delete(w.wanted, e.identity)
		w.distribute(e.report())
		for _, r := range e.listing() {
			w.distribute(r)
		}
	}
}

func (w *cacheSimulation) distribute(r events.Report) {
	for _, m := range w.ring.Distribute(r) {
		w.send(int(m.To[0]-'0'), m.Message)
	}
}

// free sends the holders the Freeing change of a sealed piece.
func (w *cacheSimulation) free() {
	s := w.stores[w.r.IntN(2)]
	if k, ok := w.pick(ordered(s.objects)); ok {
		w.post(k, Message{Store: w.change(s.identity, k, Freeing, s.objects[k].generation)})
	}
}

// deleteFreed deletes the pieces that a holder returns as deletable and checks that no reader with a pin of that holder is reading them.
func (w *cacheSimulation) deleteFreed() {
	h := w.r.IntN(2)
	for _, d := range w.holders[h].Deletable(w.now) {
		w.checkPins(h, d)
		w.store(d.Store).remove(d.Key, d.Generation)
		w.post(d.Key, Message{Store: w.change(d.Store, d.Key, Freed, d.Generation)})
	}
}

// checkPins fails if a reader is still reading with a pin that the holder granted.
func (w *cacheSimulation) checkPins(h int, d Deletion) {
	for _, q := range w.runs {
		same := q.pin.Store == d.Store && q.pin.Key == d.Key && q.pin.Generation == d.Generation
		if q.reading != nil && same && q.holder == h && w.now.Before(q.until) {
			w.fault = fmt.Sprintf("holder %d allows the deletion of a piece that it pinned for a reader", h)
		}
	}
}

// injectFault injects a random fault.
func (w *cacheSimulation) injectFault() {
	e, s := w.engines[w.r.IntN(2)], w.stores[w.r.IntN(2)]
	switch w.r.IntN(12) {
	case 0:
		e.restart()
	case 1:
		s.restart()
	case 2:
		w.version++
	case 3, 4:
		if k, ok := w.pick(ordered(s.objects)); ok {
			s.remove(k, 0)
		}
	case 5:
		w.holders[w.r.IntN(2)].Sweep(w.now)
	default:
		e.evict(block.Key{byte(w.r.IntN(256))})
	}
}

// checkLookup compares the answer with the deletions reported to the holder and with the generations that the stores ever sealed.
func (w *cacheSimulation) checkLookup(h int, k block.Key, found Location) {
	for _, at := range found.Stores {
		if at.Generation <= w.reportedFreed[h][at.Store+k.String()] {
			w.fault = fmt.Sprintf("holder %d returns generation %d of a piece in %s that was reported to it as freed", h, at.Generation, at.Store)
		}
		s := w.store(at.Store)
		sealed := s.objects[k].generation == at.Generation || s.everFreed[k] >= at.Generation
		if !sealed {
			w.fault = fmt.Sprintf("holder %d returns generation %d in %s, which was never sealed", h, at.Generation, at.Store)
		}
	}
}

// check audits the location lists and counts of all holders.
func (w *cacheSimulation) check() {
	for h, d := range w.holders {
		if fault := d.(*directory).audit(); fault != "" {
			w.fault = fmt.Sprintf("holder %d: %s", h, fault)
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
