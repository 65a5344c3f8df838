package directory

import (
	"math"
	"time"
)

// defaultWriteTimeout is how long an export may take if its change has no deadline.
const defaultWriteTimeout = 30 * time.Second

// Store implements Directory.
//
// Messages about one piece may be delayed and reordered. A generation only
// advances through its states and a higher one replaces a lower one, so that
// every order of the same messages ends in the same state. A seal that arrives
// after the deletion finds the generation freed.
func (d *directory) Store(now time.Time, c StoreChange) Effect {
	p := d.peers.getOrCreate(c.Store, d.millis(now))
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
	if transition, ok := transitions[c.To]; ok {
		e.Outcome = transition(d, s, p, now, c)
	}
	return e
}

// transitions maps the target state of a StoreChange to its transition.
var transitions = map[State]func(d *directory, s *shard, p *peer, now time.Time, c StoreChange) Outcome{
	Writing: (*directory).markWriting,
	Sealed:  (*directory).markSealed,
	Freeing: (*directory).markFreeing,
	Freed:   (*directory).markFreed,
}

// markWriting marks a piece as being exported, so that no second engine exports it at the same time.
func (d *directory) markWriting(s *shard, p *peer, now time.Time, c StoreChange) Outcome {
	k, epoch := prefix(c.Key), p.currentEpoch()
	if c.Failed {
		s.drop(k, matchPeer(p, epoch, Writing))
		return Applied
	}
	if s.find(k, matchPeer(p, epoch, Sealed, Freeing)) != nil {
		return Known
	}
	if l := s.find(k, matchPeer(p, epoch, Writing)); l != nil && l.number > d.millis(now) {
		return Known
	}
	s.drop(k, matchPeer(p, epoch, Writing))
	deadline := time.Duration(c.DeadlineMillis) * time.Millisecond
	if deadline <= 0 {
		deadline = defaultWriteTimeout
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

func (d *directory) markSealed(s *shard, p *peer, _ time.Time, c StoreChange) Outcome {
	if c.Generation == 0 || c.Bytes <= 0 || c.Bytes > math.MaxUint32 {
		return Refused
	}
	k, epoch := prefix(c.Key), p.currentEpoch()
	s.drop(k, matchPeer(p, epoch, Writing))
	l := s.find(k, matchPeer(p, epoch, Sealed, Freeing, Freed))
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

// markFreeing marks the piece as closed for new readers; existing pins protect it until they end.
func (d *directory) markFreeing(s *shard, p *peer, _ time.Time, c StoreChange) Outcome {
	l := s.find(prefix(c.Key), matchPeer(p, p.currentEpoch(), Sealed, Freeing, Freed))
	if l == nil || l.number != c.Generation {
		return Outdated
	}
	if l.state != Sealed {
		return Known
	}
	l.state = Freeing
	d.deletions.add(pinKey{key: c.Key, peer: p.index}, Deletion{Store: p.identity, Key: c.Key, Generation: c.Generation})
	return Applied
}

// markFreed stores a tombstone of the generation, even if its seal has not arrived yet.
func (d *directory) markFreed(s *shard, p *peer, now time.Time, c StoreChange) Outcome {
	if c.Generation == 0 {
		return Refused
	}
	k, epoch := prefix(c.Key), p.currentEpoch()
	l := s.find(k, matchPeer(p, epoch, Sealed, Freeing, Freed))
	if l != nil && l.number > c.Generation {
		return Outdated
	}
	if l != nil && l.state == Freed && l.number == c.Generation {
		return Known
	}
	d.deletions.remove(pinKey{key: c.Key, peer: p.index}, c.Generation)
	n := location{
		peer:   p.index,
		epoch:  epoch,
		state:  Freed,
		number: c.Generation,
		bytes:  uint32(d.millis(now) / 1000),
	}
	return replaceWith(s, k, l, n)
}

func replaceWith(s *shard, k keyPrefix, l *location, n location) Outcome {
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
