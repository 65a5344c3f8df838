package stores

import (
	"slices"
	"strings"
	"time"
)

// blockTokens is the unit in which stores allocate capacity, in tokens.
const blockTokens = 16

// FetchWindow is the longest time from when a request is sent until its fetch has ended.
// Links carry the largest parts in a few hundred milliseconds, but a fetch waits
// behind other fetches, and its request waits in the engine's queue.
const FetchWindow = 4 * time.Second

// StaleAfter is how long an entry uses what the lease holder reported about stores
// without a further report. It is longer than another replica takes to acquire the lease.
const StaleAfter = 10 * time.Second

// freeMargin is added to each delay before a part is freed.
const freeMargin = 300 * time.Millisecond

// minIdleBeforeEviction is how long a part must be unused before it is evicted for others.
// Evicting a part that is requested again sooner means that it is prefilled again, which costs
// far more than not storing a part that was prefilled for the first time.
const minIdleBeforeEviction = 15 * time.Second

// storedPart is a part in a StoreInventory.
type storedPart struct {
	tokens int
	// lastUsed is when the part was last requested, or when it was added.
	lastUsed time.Time
	// withdrawnAt is when the part was withdrawn from entries; zero while it may be fetched.
	withdrawnAt time.Time
	// revision is the revision of the row table that announces the withdrawal.
	revision uint64
	// acknowledgedAt is when all entries were first seen to have the withdrawal, zero before.
	acknowledgedAt time.Time
}

// StoreInventory records which parts are in one store.
type StoreInventory struct {
	// Address is the store's IP and port, Capacity its capacity in tokens.
	Address  string
	Capacity int

	epoch, next int64
	listed      bool
	parts       map[Part]*storedPart
	// hashes finds parts by their hash, by which entries report their use.
	hashes map[uint64]Part
	// partial are the parts that were incomplete in the last listing.
	partial map[Part]bool
}

// NewStoreInventory returns an empty inventory of the store at address.
func NewStoreInventory(address string, capacity int) *StoreInventory {
	return &StoreInventory{Address: address, Capacity: capacity, parts: map[Part]*storedPart{}, hashes: map[uint64]Part{}, partial: map[Part]bool{}}
}

// Next returns the cursor of the next poll.
func (s *StoreInventory) Next() int64 {
	return s.next
}

// Epoch returns the store's current epoch, which changes with each start.
func (s *StoreInventory) Epoch() int64 {
	return s.epoch
}

// ApplyFeed applies the changes of a feed and returns the parts whose row changes. list is
// true when a full listing is needed because changes were lost or the store has restarted.
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
		s.parts[p] = &storedPart{tokens: tokens, lastUsed: now}
		s.hashes[p.Hash()] = p
		return true
	case !held && known:
		s.remove(p)
		return old.withdrawnAt.IsZero()
	}
	return false
}

func (s *StoreInventory) remove(p Part) {
	delete(s.parts, p)
	delete(s.hashes, p.Hash())
}

// Touch records that a part was requested.
func (s *StoreInventory) Touch(hash uint64, now time.Time) {
	if x, ok := s.parts[s.hashes[hash]]; ok {
		x.lastUsed = now
	}
}

// ApplyListing replaces the recorded parts by those of a full listing and returns the parts whose row changes.
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
	s.withdrawAbandoned(l, now)
	s.epoch, s.next, s.listed = l.Epoch, l.Next, true
	return changed
}

// withdrawAbandoned withdraws the parts that are incomplete in two consecutive listings.
// Their writers have failed, and they would occupy capacity forever.
func (s *StoreInventory) withdrawAbandoned(l Listing, now time.Time) {
	seenBefore := s.partial
	s.partial = map[Part]bool{}
	for p, reserved := range l.Partial {
		if seenBefore[p] {
			s.parts[p] = &storedPart{tokens: reserved, lastUsed: now, withdrawnAt: now}
			s.hashes[p.Hash()] = p
			continue
		}
		s.partial[p] = true
	}
}

// Fetchable returns the part's size and whether it may be fetched.
func (s *StoreInventory) Fetchable(p Part) (int, bool) {
	x, ok := s.parts[p]
	if !ok || !x.withdrawnAt.IsZero() {
		return 0, false
	}
	return x.tokens, true
}

// UsedTokens returns how many tokens of capacity the parts occupy, including withdrawn ones.
func (s *StoreInventory) UsedTokens() int {
	sum := 0
	for _, x := range s.parts {
		sum += (x.tokens + blockTokens - 1) / blockTokens * blockTokens
	}
	return sum
}

// Withdraw withdraws the parts for which unwanted returns true. While the other parts fill more
// than share of the capacity it also withdraws the least recently used idle ones. It returns
// the newly withdrawn parts: entries are notified at once, and the parts are freed later.
func (s *StoreInventory) Withdraw(unwanted func(Part) bool, share float64, now time.Time) []Part {
	var withdrawn []Part
	candidates, remaining := make([]Part, 0, len(s.parts)), 0
	for p, x := range s.parts {
		switch {
		case !x.withdrawnAt.IsZero():
		case unwanted(p):
			x.withdrawnAt = now
			withdrawn = append(withdrawn, p)
		default:
			candidates = append(candidates, p)
			remaining += x.tokens
		}
	}
	slices.SortFunc(candidates, func(a, b Part) int {
		if d := s.parts[a].lastUsed.Compare(s.parts[b].lastUsed); d != 0 {
			return d
		}
		return strings.Compare(a.ID, b.ID)
	})
	for _, p := range candidates {
		x := s.parts[p]
		if float64(remaining) <= share*float64(s.Capacity) || now.Sub(x.lastUsed) < minIdleBeforeEviction {
			break
		}
		x.withdrawnAt = now
		remaining -= x.tokens
		withdrawn = append(withdrawn, p)
	}
	return withdrawn
}

// MarkAnnounced records the revision of the row table that announces the withdrawal of parts.
func (s *StoreInventory) MarkAnnounced(parts []Part, revision uint64) {
	for _, p := range parts {
		if x, ok := s.parts[p]; ok {
			x.revision = revision
		}
	}
}

// Remove records that the store has freed the parts, since its own change event may be lost.
func (s *StoreInventory) Remove(parts []Part) {
	for _, p := range parts {
		s.remove(p)
	}
}

// Freeable returns the withdrawn parts that can no longer be fetched. acknowledged is the
// revision of the row table up to which all entries that made contact within StaleAfter have the rows.
//
// If a part were freed while an engine still fetches it, the content of that engine's
// memory would be undefined. An entry that has acknowledged the withdrawal starts
// no more fetches. One that hasn't, because it is cut off, stops after StaleAfter. The
// last fetch that either has started ends within FetchWindow.
func (s *StoreInventory) Freeable(acknowledged uint64, now time.Time) []Part {
	var freeable []Part
	for p, x := range s.parts {
		if x.withdrawnAt.IsZero() {
			continue
		}
		if x.acknowledgedAt.IsZero() && x.revision != 0 && acknowledged >= x.revision {
			x.acknowledgedAt = now
		}
		const wait = FetchWindow + freeMargin
		if !x.acknowledgedAt.IsZero() && now.Sub(x.acknowledgedAt) >= wait || now.Sub(x.withdrawnAt) >= StaleAfter+wait {
			freeable = append(freeable, p)
		}
	}
	return freeable
}
