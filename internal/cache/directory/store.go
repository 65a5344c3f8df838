package directory

import (
	"math"
	"time"
)

// defaultWrite is how long an export may take when its change names no deadline.
const defaultWrite = 30 * time.Second

// Store implements Directory.
//
// Messages about one piece may come late and crossed. A generation only moves
// forward through its states and a higher one replaces a lower one, so that
// every order of the same messages ends in the same state; a seal that
// arrives after the deletion finds the generation freed.
func (d *directory) Store(now time.Time, c StoreChange) Effect {
	p := d.peers.add(c.Store, d.millis(now))
	if p == nil {
		return Effect{Outcome: Refused}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Incarnation < p.incarnation {
		return Effect{Outcome: Outdated}
	}
	restarted := p.restart(c.Incarnation)
	s := d.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Effect{Outcome: Refused, Restarted: restarted}
	if step, ok := steps[c.To]; ok {
		e.Outcome = step(d, s, p, now, c)
	}
	return e
}

// steps holds what each state of a StoreChange does.
var steps = map[State]func(d *directory, s *shard, p *peer, now time.Time, c StoreChange) Outcome{
	Writing: (*directory).write,
	Sealed:  (*directory).seal,
	Freeing: (*directory).free,
	Freed:   (*directory).gone,
}

// write marks a piece as being exported, so that no second engine exports it meanwhile.
func (d *directory) write(s *shard, p *peer, now time.Time, c StoreChange) Outcome {
	k, epoch := short(c.Key), p.currentEpoch()
	if c.Failed {
		s.drop(k, of(p, epoch, Writing))
		return Applied
	}
	if s.find(k, of(p, epoch, Sealed, Freeing)) != nil {
		return Known
	}
	if l := s.find(k, of(p, epoch, Writing)); l != nil && l.number > d.millis(now) {
		return Known
	}
	s.drop(k, of(p, epoch, Writing))
	deadline := time.Duration(c.DeadlineMillis) * time.Millisecond
	if deadline <= 0 {
		deadline = defaultWrite
	}
	ok := s.put(k, location{
		peer:   p.index,
		epoch:  epoch,
		state:  Writing,
		number: d.millis(now.Add(deadline)),
	})
	if !ok {
		return Refused
	}
	return Applied
}

func (d *directory) seal(s *shard, p *peer, _ time.Time, c StoreChange) Outcome {
	if c.Generation == 0 || c.Bytes <= 0 || c.Bytes > math.MaxUint32 {
		return Refused
	}
	k, epoch := short(c.Key), p.currentEpoch()
	s.drop(k, of(p, epoch, Writing))
	l := s.find(k, of(p, epoch, Sealed, Freeing, Freed))
	if l != nil && l.number > c.Generation {
		return Outdated
	}
	if l != nil && l.number == c.Generation {
		if l.state != Sealed {
			return Outdated
		}
		l.tier = c.Tier
		return Known
	}
	n := location{
		peer:   p.index,
		epoch:  epoch,
		state:  Sealed,
		number: c.Generation,
		bytes:  uint32(c.Bytes),
		tier:   c.Tier,
	}
	return replaceWith(s, k, l, n)
}

// free stops new readers; pins that stand keep the piece until they end.
func (d *directory) free(s *shard, p *peer, _ time.Time, c StoreChange) Outcome {
	l := s.find(short(c.Key), of(p, p.currentEpoch(), Sealed, Freeing, Freed))
	if l == nil || l.number != c.Generation {
		return Outdated
	}
	if l.state != Sealed {
		return Known
	}
	l.state = Freeing
	d.freed.add(pinned{key: c.Key, peer: p.index}, Deletion{Store: p.identity, Key: c.Key, Generation: c.Generation})
	return Applied
}

// gone keeps a tombstone of the generation, also when its seal has not arrived yet.
func (d *directory) gone(s *shard, p *peer, now time.Time, c StoreChange) Outcome {
	if c.Generation == 0 {
		return Refused
	}
	k, epoch := short(c.Key), p.currentEpoch()
	l := s.find(k, of(p, epoch, Sealed, Freeing, Freed))
	if l != nil && l.number > c.Generation {
		return Outdated
	}
	if l != nil && l.state == Freed && l.number == c.Generation {
		return Known
	}
	d.freed.remove(pinned{key: c.Key, peer: p.index}, c.Generation)
	n := location{
		peer:   p.index,
		epoch:  epoch,
		state:  Freed,
		number: c.Generation,
		bytes:  uint32(d.millis(now) / 1000),
	}
	return replaceWith(s, k, l, n)
}

func replaceWith(s *shard, k shortKey, l *location, n location) Outcome {
	if l != nil {
		n.next = l.next
		*l = n
		return Applied
	}
	if !s.put(k, n) {
		return Refused
	}
	return Applied
}

// millis returns the milliseconds since the start.
func (d *directory) millis(t time.Time) uint64 {
	return uint64(max(0, t.Sub(d.config.Start).Milliseconds()))
}
