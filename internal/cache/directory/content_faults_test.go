package directory

import (
	"fmt"
	"time"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/events"
)

// post sends the message to both holders, each on its own way: late, twice or not at all.
func (w *cacheWorld) post(k block.Key, m Message) {
	for _, e := range w.ring.Both(k, m) {
		w.send(int(e.To[0]-'0'), e.Message)
	}
}

func (w *cacheWorld) send(to int, m Message) {
	for range []int{0, 1, 1, 1, 1, 1, 1, 2}[w.r.IntN(8)] {
		delay := time.Duration(w.r.IntN(100)) * time.Millisecond
		if w.r.IntN(6) == 0 {
			delay = time.Duration(w.r.IntN(8000)) * time.Millisecond
		}
		w.wire = append(w.wire, parcel{at: w.now.Add(delay), to: to, m: m})
	}
}

func (w *cacheWorld) deliver() {
	due := w.wire
	w.wire = nil
	for _, p := range due {
		if p.at.After(w.now) {
			w.wire = append(w.wire, p)
			continue
		}
		e := Serve(w.holders[p.to], w.now, p.m).Effect
		if e.ListingWanted {
			w.wanted[p.m.Update.Engine] = true
		}
		w.remember(p, e)
	}
}

func (w *cacheWorld) remember(p parcel, e Effect) {
	c := p.m.Store
	if c != nil && c.To == Freed && e.Outcome == Applied {
		w.told[p.to][c.Store+c.Key.String()] = c.Generation
	}
}

// export writes a piece that an engine holds: step by step, or cut off half-way.
func (w *cacheWorld) export() {
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

func (w *cacheWorld) pick(keys []block.Key) (block.Key, bool) {
	if len(keys) == 0 {
		return block.Key{}, false
	}
	return keys[w.r.IntN(len(keys))], true
}

func (w *cacheWorld) continueExport(s *fakeStore, u *upload) {
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

func (w *cacheWorld) tell() {
	w.spread(w.engines[w.r.IntN(2)].report())
}

func (w *cacheWorld) list() {
	for _, e := range w.engines {
		if !w.wanted[e.identity] {
			continue
		}
		delete(w.wanted, e.identity)
		w.spread(e.report())
		for _, r := range e.listing() {
			w.spread(r)
		}
	}
}

func (w *cacheWorld) spread(r events.Report) {
	for _, m := range w.ring.Spread(r) {
		w.send(int(m.To[0]-'0'), m.Message)
	}
}

// free tells the holders that a sealed piece is to go.
func (w *cacheWorld) free() {
	s := w.stores[w.r.IntN(2)]
	if k, ok := w.pick(ordered(s.objects)); ok {
		w.post(k, Message{Store: w.change(s.identity, k, Freeing, s.objects[k].generation)})
	}
}

// deleteFreed deletes what a holder says has no reader left; no reader that it pinned may be reading then.
func (w *cacheWorld) deleteFreed() {
	h := w.r.IntN(2)
	for _, d := range w.holders[h].Deletable(w.now) {
		w.checkPins(h, d)
		w.store(d.Store).remove(d.Key, d.Generation)
		w.post(d.Key, Message{Store: w.change(d.Store, d.Key, Freed, d.Generation)})
	}
}

// checkPins looks for a reader whose pin the holder granted and that still reads.
func (w *cacheWorld) checkPins(h int, d Deletion) {
	for _, q := range w.runs {
		same := q.pin.Store == d.Store && q.pin.Key == d.Key && q.pin.Generation == d.Generation
		if q.reading != nil && same && q.holder == h && w.now.Before(q.until) {
			w.fault = fmt.Sprintf("holder %d lets a piece be deleted that it pinned for a reader", h)
		}
	}
}

// upset lets something go wrong.
func (w *cacheWorld) upset() {
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

// checkLookup holds the answer against what the holder was told and what the stores ever sealed.
func (w *cacheWorld) checkLookup(h int, k block.Key, found Location) {
	for _, at := range found.Stores {
		if at.Generation <= w.told[h][at.Store+k.String()] {
			w.fault = fmt.Sprintf("holder %d names generation %d of a piece in %s that it was told is freed", h, at.Generation, at.Store)
		}
		s := w.store(at.Store)
		sealed := s.objects[k].generation == at.Generation || s.everFreed[k] >= at.Generation
		if !sealed {
			w.fault = fmt.Sprintf("holder %d names generation %d in %s, which was never sealed", h, at.Generation, at.Store)
		}
	}
}

// check counts the locations anew and compares with the count that is kept.
func (w *cacheWorld) check() {
	for h, d := range w.holders {
		if fault := d.(*directory).audit(); fault != "" {
			w.fault = fmt.Sprintf("holder %d: %s", h, fault)
		}
	}
}

// audit returns what is wrong with the lists of locations, empty when nothing is.
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
					return fmt.Sprintf("piece %x stands twice with %+v", k, l)
				}
				seen[l] = true
				total++
			}
		}
	}
	if total != int(d.count.Load()) {
		return fmt.Sprintf("%d locations are counted and %d are there", d.count.Load(), total)
	}
	return ""
}
