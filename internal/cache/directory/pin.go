package directory

import (
	"slices"
	"sync"
	"time"

	"hornbeamwood/internal/cache/block"
)

// Pin protects a sealed piece from deletion while one reader reads it.
type Pin struct {
	// Store is the store's identity.
	Store string `cbor:"s"`
	// Key and Generation identify the piece.
	Key        block.Key `cbor:"k"`
	Generation uint64    `cbor:"g"`
	// Reader is the ID of the reader's attempt.
	Reader uint64 `cbor:"r"`
	// DeadlineMillis is the maximum lifetime of the pin, so that the pin of a crashed reader expires.
	DeadlineMillis int64 `cbor:"d"`
}

// maxPinTime caps the lifetime of a pin.
const maxPinTime = 2 * time.Minute

type pinKey struct {
	key  block.Key
	peer uint16
}

type pin struct {
	reader     uint64
	generation uint64
	deadline   time.Time
}

type pins struct {
	mu    sync.Mutex
	byKey map[pinKey][]pin
}

func (p *pins) add(k pinKey, n pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byKey[k] = append(without(p.byKey[k], n.reader), n)
}

func (p *pins) remove(k pinKey, reader uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep(k, without(p.byKey[k], reader))
}

func (p *pins) keep(k pinKey, left []pin) {
	if len(left) == 0 {
		delete(p.byKey, k)
		return
	}
	p.byKey[k] = left
}

// pinned reports whether the generation has a pin that has not expired.
func (p *pins) pinned(now time.Time, k pinKey, generation uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := slices.DeleteFunc(p.byKey[k], func(n pin) bool { return !n.deadline.After(now) })
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
	for k, all := range p.byKey {
		p.keep(k, slices.DeleteFunc(all, func(n pin) bool { return !n.deadline.After(now) }))
	}
}

// Pin implements Directory.
//
// The state is checked under the shard lock, which Store holds as well. A pin
// granted after the piece has entered Freeing would not protect it.
func (d *directory) Pin(now time.Time, n Pin) Effect {
	p := d.peers.get(n.Store)
	if p == nil {
		return Effect{Outcome: Refused}
	}
	s := d.shard(n.Key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	l := s.find(prefix(n.Key), matchPeer(p, p.currentEpoch(), Sealed))
	if l == nil || l.number != n.Generation {
		return Effect{Outcome: Refused}
	}
	life := min(max(0, time.Duration(n.DeadlineMillis)*time.Millisecond), maxPinTime)
	d.pins.add(pinKey{key: n.Key, peer: p.index}, pin{
		reader:     n.Reader,
		generation: n.Generation,
		deadline:   now.Add(life),
	})
	return Effect{Outcome: Applied}
}

// Unpin implements Directory.
func (d *directory) Unpin(_ time.Time, n Pin) Effect {
	p := d.peers.get(n.Store)
	if p == nil {
		return Effect{Outcome: Known}
	}
	d.pins.remove(pinKey{key: n.Key, peer: p.index}, n.Reader)
	return Effect{Outcome: Applied}
}
