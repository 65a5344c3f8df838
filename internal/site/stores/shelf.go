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

// StaleAfter is how long an entry believes what the holder of the lease told it
// of stores without hearing more: longer than it takes until another replica
// holds the lease.
const StaleAfter = 10 * time.Second

// freeSlack is added to every wait before a part is freed.
const freeSlack = 300 * time.Millisecond

// idleBeforeFree is how long a part must not have been asked for until it makes
// room for others. What returns sooner would be read again, which costs far more
// than what is read for the first time and not kept.
const idleBeforeFree = 15 * time.Second

// placed is a part on a shelf.
type placed struct {
	tokens int
	// used is when it was last asked for, or came.
	used time.Time
	// withdrawn is when entries were told that it goes; zero while it stays.
	withdrawn time.Time
	// number is the board's number with which they were told.
	number uint64
}

// StoreInventory is the account of one store.
type StoreInventory struct {
	// Address is the store's IP and port, Room what it can hold in tokens.
	Address  string
	Capacity int

	epoch, next int64
	listed      bool
	parts       map[Part]*placed
	// hashes finds parts by what entries tell of their use.
	hashes map[uint64]Part
	// partial are the parts that were not whole in the last listing.
	partial map[Part]bool
}

// NewStoreInventory returns the account of a store of which nothing is known yet.
func NewStoreInventory(address string, room int) *StoreInventory {
	return &StoreInventory{Address: address, Capacity: room, parts: map[Part]*placed{}, hashes: map[uint64]Part{}, partial: map[Part]bool{}}
}

// Next returns where the next poll goes on.
func (s *StoreInventory) Next() int64 {
	return s.next
}

// Epoch returns the store's present start.
func (s *StoreInventory) Epoch() int64 {
	return s.epoch
}

// ApplyFeed takes a feed and returns the parts whose row changes and whether the
// whole must be listed anew, because something was lost or the store has restarted.
func (s *StoreInventory) ApplyFeed(f Feed, now time.Time) (changed []Part, list bool) {
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

func (s *StoreInventory) set(p Part, held bool, tokens int, now time.Time) bool {
	old, known := s.parts[p]
	switch {
	case held && !known:
		s.parts[p] = &placed{tokens: tokens, used: now}
		s.hashes[p.Hash()] = p
		return true
	case !held && known:
		s.remove(p)
		return old.withdrawn.IsZero()
	}
	return false
}

func (s *StoreInventory) remove(p Part) {
	delete(s.parts, p)
	delete(s.hashes, p.Hash())
}

// Touch notes that a part was asked for.
func (s *StoreInventory) Touch(hash uint64, now time.Time) {
	if x, ok := s.parts[s.hashes[hash]]; ok {
		x.used = now
	}
}

// ApplyListing takes a listing and returns the parts whose row changes.
func (s *StoreInventory) ApplyListing(l Listing, now time.Time) []Part {
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
	s.takePartial(l, now)
	s.epoch, s.next, s.listed = l.Epoch, l.Next, true
	return changed
}

// takePartial marks the parts that are not whole in two listings one after the
// other: their writers have broken off, and they would keep their room for ever.
func (s *StoreInventory) takePartial(l Listing, now time.Time) {
	again := s.partial
	s.partial = map[Part]bool{}
	for p, reserved := range l.Partial {
		if again[p] {
			s.parts[p] = &placed{tokens: reserved, used: now, withdrawn: now}
			s.hashes[p.Hash()] = p
			continue
		}
		s.partial[p] = true
	}
}

// Fetchable returns the part's size and whether it may be fetched.
func (s *StoreInventory) Fetchable(p Part) (int, bool) {
	x, ok := s.parts[p]
	if !ok || !x.withdrawn.IsZero() {
		return 0, false
	}
	return x.tokens, true
}

// UsedTokens returns how many tokens the parts take, withdrawn ones included.
func (s *StoreInventory) UsedTokens() int {
	sum := 0
	for _, x := range s.parts {
		sum += (x.tokens + block - 1) / block * block
	}
	return sum
}

// Withdraw marks the parts that unwanted returns true for, and while more than
// share of the room is taken those that nobody has asked for in a long time, and
// returns those newly marked. Entries are told at once; the parts are freed later.
func (s *StoreInventory) Withdraw(unwanted func(Part) bool, share float64, now time.Time) []Part {
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
		if d := s.parts[a].used.Compare(s.parts[b].used); d != 0 {
			return d
		}
		return strings.Compare(a.ID, b.ID)
	})
	for _, p := range kept {
		x := s.parts[p]
		if float64(staying) <= share*float64(s.Capacity) || now.Sub(x.used) < idleBeforeFree {
			break
		}
		x.withdrawn = now
		staying -= x.tokens
		marked = append(marked, p)
	}
	return marked
}

// MarkAnnounced notes the board's number with which entries were told of withdrawn parts.
func (s *StoreInventory) MarkAnnounced(parts []Part, number uint64) {
	for _, p := range parts {
		if x, ok := s.parts[p]; ok {
			x.number = number
		}
	}
}

// Remove notes that the store has dropped the parts; its own word may be lost.
func (s *StoreInventory) Remove(parts []Part) {
	for _, p := range parts {
		s.remove(p)
	}
}

// Freeable returns the parts that nobody fetches any more. known is the board's
// number that all entries have which were heard within StaleAfter.
//
// A part freed while an engine still reads it would leave that engine with
// memory of which nobody knows what is in it. An entry that has the news begins
// no more fetches; one that hasn't, and is cut off, stops after StaleAfter. The
// last fetch that either began has ended after FetchWindow.
func (s *StoreInventory) Freeable(known uint64, now time.Time) []Part {
	var due []Part
	for p, x := range s.parts {
		if x.withdrawn.IsZero() {
			continue
		}
		wait := StaleAfter + FetchWindow + freeSlack
		if x.number != 0 && known >= x.number {
			wait = FetchWindow + freeSlack
		}
		if now.Sub(x.withdrawn) >= wait {
			due = append(due, p)
		}
	}
	return due
}
