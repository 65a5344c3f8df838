package directory

import (
	"slices"
	"sync"
	"time"

	"hornbeamwood/internal/cache/block"
)

// Pin keeps a sealed piece while one reader reads it.
type Pin struct {
	// Store is the store's identity.
	Store string `cbor:"s"`
	// Key and Generation name the piece.
	Key        block.Key `cbor:"k"`
	Generation uint64    `cbor:"g"`
	// Reader is a number that names the reader's attempt.
	Reader uint64 `cbor:"r"`
	// DeadlineMillis is how long the pin counts at most; a reader that dies leaves none for ever.
	DeadlineMillis int64 `cbor:"d"`
}

// maxPin caps a pin's deadline.
const maxPin = 2 * time.Minute

type pinned struct {
	key  block.Key
	peer uint16
}

type pin struct {
	reader     uint64
	generation uint64
	until      time.Time
}

type pins struct {
	mu   sync.Mutex
	held map[pinned][]pin
}

func (p *pins) add(k pinned, n pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[k] = append(without(p.held[k], n.reader), n)
}

func (p *pins) remove(k pinned, reader uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep(k, without(p.held[k], reader))
}

func (p *pins) keep(k pinned, left []pin) {
	if len(left) == 0 {
		delete(p.held, k)
		return
	}
	p.held[k] = left
}

// pinned returns whether a pin on the generation still counts.
func (p *pins) pinned(now time.Time, k pinned, generation uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := slices.DeleteFunc(p.held[k], func(n pin) bool { return !n.until.After(now) })
	p.keep(k, left)
	return slices.ContainsFunc(left, func(n pin) bool { return n.generation == generation })
}

func without(all []pin, reader uint64) []pin {
	return slices.DeleteFunc(all, func(n pin) bool { return n.reader == reader })
}

// expire removes the pins whose deadline has passed.
func (p *pins) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, all := range p.held {
		p.keep(k, slices.DeleteFunc(all, func(n pin) bool { return !n.until.After(now) }))
	}
}

// Pin implements Directory.
//
// The state is checked under the shard's lock that free takes as well: a pin
// that was granted after the piece began to be freed would protect nothing.
func (d *directory) Pin(now time.Time, n Pin) Effect {
	p := d.peers.get(n.Store)
	if p == nil {
		return Effect{Outcome: Refused}
	}
	s := d.shard(n.Key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	l := s.find(short(n.Key), of(p, p.currentEpoch(), Sealed))
	if l == nil || l.number != n.Generation {
		return Effect{Outcome: Refused}
	}
	life := min(max(0, time.Duration(n.DeadlineMillis)*time.Millisecond), maxPin)
	d.pins.add(pinned{key: n.Key, peer: p.index}, pin{
		reader:     n.Reader,
		generation: n.Generation,
		until:      now.Add(life),
	})
	return Effect{Outcome: Applied}
}

// Unpin implements Directory.
func (d *directory) Unpin(_ time.Time, n Pin) Effect {
	p := d.peers.get(n.Store)
	if p == nil {
		return Effect{Outcome: Known}
	}
	d.pins.remove(pinned{key: n.Key, peer: p.index}, n.Reader)
	return Effect{Outcome: Applied}
}
