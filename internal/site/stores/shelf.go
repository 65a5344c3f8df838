package stores

import (
	"slices"
	"strings"
	"time"
)

// block is the unit in which stores give room, in tokens.
const block = 16

// FetchWindow is how long a fetch may last from when its request was sent.
// Links carry the largest parts in a few hundred milliseconds, but a fetch waits
// behind others and with its request in the engine's queue.
const FetchWindow = 4 * time.Second

// HoldBeforeFree is how long a part stays in its store after entries were told
// that it goes. An entry that hears nothing stops fetching after StaleAfter; a
// fetch that it began just before may last FetchWindow.
const HoldBeforeFree = StaleAfter + FetchWindow + 500*time.Millisecond

// StaleAfter is how long an entry believes what it was told of stores without hearing more.
const StaleAfter = 2 * time.Second

// placed is a part on a shelf.
type placed struct {
	tokens int
	since  time.Time
	// withdrawn is when entries were told that it goes; zero while it stays.
	withdrawn time.Time
}

// Shelf is the account of one store.
type Shelf struct {
	// Address is the store's IP and port, Room what it can hold in tokens.
	Address string
	Room    int

	epoch, next int64
	listed      bool
	parts       map[Part]*placed
}

// NewShelf returns the account of a store of which nothing is known yet.
func NewShelf(address string, room int) *Shelf {
	return &Shelf{Address: address, Room: room, parts: map[Part]*placed{}}
}

// Next returns where the next poll goes on.
func (s *Shelf) Next() int64 {
	return s.next
}

// Epoch returns the store's present start.
func (s *Shelf) Epoch() int64 {
	return s.epoch
}

// Take takes a feed and returns the parts whose row changes and whether the
// whole must be listed anew, because something was lost or the store has restarted.
func (s *Shelf) Take(f Feed, now time.Time) (changed []Part, list bool) {
	if !s.listed || f.Lost || f.Epoch != s.epoch {
		return nil, true
	}
	for _, c := range f.Changes {
		if s.set(c.Part, c.Added, c.Tokens, now) {
			changed = append(changed, c.Part)
		}
	}
	s.next = f.Next
	return changed, false
}

func (s *Shelf) set(p Part, held bool, tokens int, now time.Time) bool {
	old, known := s.parts[p]
	switch {
	case held && !known:
		s.parts[p] = &placed{tokens: tokens, since: now}
		return true
	case !held && known:
		delete(s.parts, p)
		return old.withdrawn.IsZero()
	}
	return false
}

// TakeList takes a listing and returns the parts whose row changes.
func (s *Shelf) TakeList(l Listing, now time.Time) []Part {
	var changed []Part
	for p := range s.parts {
		if _, ok := l.Held[p]; !ok && s.set(p, false, 0, now) {
			changed = append(changed, p)
		}
	}
	for p, tokens := range l.Held {
		if s.set(p, true, tokens, now) {
			changed = append(changed, p)
		}
	}
	s.epoch, s.next, s.listed = l.Epoch, l.Next, true
	return changed
}

// Whole returns the part's size and whether it may be fetched.
func (s *Shelf) Whole(p Part) (int, bool) {
	x, ok := s.parts[p]
	if !ok || !x.withdrawn.IsZero() {
		return 0, false
	}
	return x.tokens, true
}

// Used returns how many tokens the parts take, withdrawn ones included.
func (s *Shelf) Used() int {
	sum := 0
	for _, x := range s.parts {
		sum += (x.tokens + block - 1) / block * block
	}
	return sum
}

// Withdraw marks the parts that unwanted returns true for, and the oldest ones
// while more than share of the room is taken, and returns those newly marked.
// Entries are told at once; the parts are freed later.
func (s *Shelf) Withdraw(unwanted func(Part) bool, share float64, now time.Time) []Part {
	var marked []Part
	kept, staying := make([]Part, 0, len(s.parts)), 0
	for p, x := range s.parts {
		switch {
		case !x.withdrawn.IsZero():
		case unwanted(p):
			x.withdrawn = now
			marked = append(marked, p)
		default:
			kept = append(kept, p)
			staying += x.tokens
		}
	}
	slices.SortFunc(kept, func(a, b Part) int {
		if d := s.parts[a].since.Compare(s.parts[b].since); d != 0 {
			return d
		}
		return strings.Compare(a.ID, b.ID)
	})
	for _, p := range kept {
		if float64(staying) <= share*float64(s.Room) {
			break
		}
		x := s.parts[p]
		x.withdrawn = now
		staying -= x.tokens
		marked = append(marked, p)
	}
	return marked
}

// Freed notes that the store has dropped the parts; its own word may be lost.
func (s *Shelf) Freed(parts []Part) {
	for _, p := range parts {
		delete(s.parts, p)
	}
}

// Due returns the parts that were withdrawn so long ago that nobody fetches them any more.
//
// A part freed while an engine still reads it would leave that engine with
// memory of which nobody knows what is in it.
func (s *Shelf) Due(now time.Time) []Part {
	var due []Part
	for p, x := range s.parts {
		if !x.withdrawn.IsZero() && now.Sub(x.withdrawn) >= HoldBeforeFree {
			due = append(due, p)
		}
	}
	return due
}
