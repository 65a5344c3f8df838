package siteentry

import (
	"time"

	"hornbeamwood/internal/serve/choose"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

const (
	// tellsFor is how long what a replica told of a store's start counts without
	// hearing more from it: it answers every second at least.
	tellsFor = 2 * time.Second
	// saveAgainAfter is how long this entry waits for a part that it had saved
	// to show up before it has it saved again; a save takes a fraction of a second.
	saveAgainAfter = 2 * time.Second
	// maxSaves bounds the saves that are remembered.
	maxSaves = 8192
	// smallPart is the size in tokens under which a part goes to a store that
	// answers fast: moving it takes less than the wait of a slow one. Longer parts
	// go to all stores, by what their links carry.
	smallPart = 1024
	// fastFirst is the wait up to which a store counts as fast.
	fastFirst = 2 * time.Millisecond
	// roomShare is how full a store may be for another part to be sent there; the
	// rest is taken by parts that are on their way.
	roomShare = 0.97
	// longShare is how full a fast store may be for a long part to be sent there;
	// the rest is for short parts, which only fast stores serve well.
	longShare = 0.4
)

// lead is what one replica shows of stores and orders; it counts while the
// replica holds the lease for orders.
type lead struct {
	epoch   uint64
	fencing uint64
	heard   time.Time
	// parts holds the sizes by part and store, used their sum by store.
	parts map[uint64]map[uint32]int
	used  map[uint32]int
	up    map[string]bool
	busy  map[string]bool
	// epochs is the start of each store that the replica saw, polled when it last answered at all.
	epochs map[string]int64
	polled time.Time
	// zone is the replica's availability zone.
	zone string
	// copied is how far this is the relay's copy of what the replica shows, where it comes from a relay.
	copied watch.Position
}

func newLead(epoch uint64) *lead {
	return &lead{epoch: epoch, parts: map[uint64]map[uint32]int{}, used: map[uint32]int{}, up: map[string]bool{}, busy: map[string]bool{}, epochs: map[string]int64{}}
}

// lead notes a replica's claim to the lease.
func (s *site) lead(address string, a watch.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leads[address]
	if !ok || l.epoch != a.Epoch {
		l = newLead(a.Epoch)
		s.leads[address] = l
	}
	l.polled, l.zone = time.Now(), a.Zone
	if a.Fencing != 0 {
		l.hear(a.Fencing, l.polled, a.More)
	}
}

// hear notes a word of the replica while it holds the lease, as of that time. One that
// comes in pieces makes nothing fresh before the last of them: the others may hold
// that a store is down.
func (l *lead) hear(fencing uint64, at time.Time, more bool) {
	l.fencing = fencing
	if !more {
		l.heard = at
	}
}

// age counts the time in which this process has stood still, which its clock leaves
// out: what it was told before is older by that.
func (s *site) age(stood time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, told := range []map[string]*lead{s.leads, s.copies} {
		for _, l := range told {
			l.heard, l.polled = l.heard.Add(-stood), l.polled.Add(-stood)
		}
	}
}

// holder returns what the present holder of the lease shows, nil when none was heard lately.
func (s *site) holder() *lead {
	return s.best(func(*lead) bool { return true })
}

// leading returns whose word on the stores counts, nil when none was heard lately:
// that of the present holder of the lease once it has told of every store, until
// then that of the one before.
//
// What an entry was told long ago may be freed by now; believing it would send
// engines to fetch what isn't there, or is being written. A new holder frees
// nothing before all that was told before it has become stale. If its word counted
// from the first store that it has listed, the parts of all others would be read
// again meanwhile.
func (s *site) leading() *lead {
	t := s.Table()
	if l := s.best(func(l *lead) bool { return l.complete(t) }); l != nil {
		return l
	}
	return s.best(func(l *lead) bool { return len(l.up) > 0 })
}

// told returns what holders of the lease tell: through the relay, or where there is
// none directly; the caller holds the lock.
func (s *site) told() map[string]*lead {
	if s.relayed {
		return s.copies
	}
	return s.leads
}

// best returns the lead with the highest fencing number of those that were heard
// lately and satisfy the condition.
func (s *site) best(condition func(*lead) bool) *lead {
	var found *lead
	for _, l := range s.told() {
		if l.fencing == 0 || time.Since(l.heard) >= stores.StaleAfter || !condition(l) {
			continue
		}
		if found == nil || l.fencing > found.fencing {
			found = l
		}
	}
	return found
}

func (s *site) takeLeadRow(address string, r rowtable.Row) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leads[address]
	if !ok {
		return nil
	}
	return l.take(r)
}

// take takes a row on stores and orders.
func (l *lead) take(r rowtable.Row) error {
	switch r.Topic {
	case topic.Parts:
		return l.takePart(r)
	case topic.StoreSummaries:
		return decoded(r, l.takeShelf)
	case topic.Epochs:
		return decoded(r, func(epoch int64) { l.epochs[r.Key] = epoch })
	case topic.StoresUp:
		return decoded(r, func(up bool) { l.up[r.Key] = up })
	}
	if len(r.Value) == 0 {
		delete(l.busy, r.Key)
		return nil
	}
	l.busy[r.Key] = true
	return nil
}

// complete returns whether the replica has told of every store: one after the other is listed.
func (l *lead) complete(t document.Table) bool {
	if t == nil {
		return false
	}
	for _, x := range t.Document().Stores {
		if _, ok := l.up[x.Address]; !ok {
			return false
		}
	}
	return true
}

func (s *site) takeLoaded(server string, l topic.LoadedWeights) {
	if known, ok := s.directory.Get(server); ok && known.StartedAt == l.StartedAt {
		s.ObserveVersion(server, l.Model, l.Version)
	}
}

// Busy implements caller.Site.
func (s *site) Busy(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.holder()
	return l != nil && l.busy[server]
}

// Copies implements caller.Site.
func (s *site) Copies(salt, part string, tokens int) []choose.Copy {
	t := s.Table()
	if t == nil {
		return nil
	}
	p := stores.Part{Salt: salt, ID: part}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leading()
	if l == nil {
		return nil
	}
	s.use(p)
	held := l.parts[p.Hash()]
	if len(held) == 0 {
		return nil
	}
	var all []choose.Copy
	for _, x := range t.Document().Stores {
		if size, ok := held[stores.ShortAddress(x.Address)]; ok && size >= tokens && l.up[x.Address] && s.sameStart(l, x.Address) {
			all = append(all, copyAt(x, tokenBytes(t.Document())))
		}
	}
	return all
}

// StoreStateAge implements caller.Site.
func (s *site) StoreStateAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leading()
	if l == nil {
		return -1
	}
	return time.Since(l.heard)
}

// sameStart returns whether the store still runs that the replica told of: at
// once while that one is heard, later by the word of another.
func (s *site) sameStart(l *lead, store string) bool {
	if time.Since(l.heard) < tellsFor {
		return true
	}
	confirmed := false
	for _, o := range s.leads {
		epoch, ok := o.epochs[store]
		if o == l || !ok || time.Since(o.polled) > tellsFor {
			continue
		}
		if epoch != l.epochs[store] {
			return false
		}
		confirmed = true
	}
	return confirmed
}

func copyAt(s document.Store, tokenBytes float64) choose.Copy {
	c := choose.Copy{Address: s.Address, Zone: s.Zone, Latency: s.Latency}
	if s.LinkRate > 0 {
		c.PerToken = time.Duration(tokenBytes / s.LinkRate * float64(time.Second))
	}
	return c
}

// tokenBytes returns the size of a token's KV cache.
func tokenBytes(d document.Document) float64 {
	for _, s := range d.Services {
		if s.Engine != nil {
			return s.Engine.TokenBytes
		}
	}
	return 0
}

// SaveTarget implements caller.Site.
//
// Each part has an order of stores that all entries work out alike, so that two
// entries that read a part at the same time save it to one place.
func (s *site) SaveTarget(salt, part string, tokens int) string {
	t := s.Table()
	if t == nil {
		return ""
	}
	now, p := time.Now(), stores.Part{Salt: salt, ID: part}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leading()
	if l == nil || len(l.parts[p.Hash()]) > 0 || now.Sub(s.saves[p]) < saveAgainAfter {
		return ""
	}
	for _, x := range placement(t.Document().Stores, p, tokens) {
		share := roomShare
		if tokens >= smallPart && x.Latency <= fastFirst {
			share = longShare
		}
		if l.up[x.Address] && float64(l.used[stores.ShortAddress(x.Address)]+tokens) <= share*float64(x.CapacityTokens) {
			s.saving(p, now)
			return x.Address
		}
	}
	return ""
}

func (s *site) saving(p stores.Part, now time.Time) {
	if len(s.saves) >= maxSaves {
		clear(s.saves)
	}
	s.saves[p] = now
}

// FetchUntil implements caller.Site.
func (s *site) FetchUntil() int64 {
	now := s.clock.Now()
	if now == 0 {
		return 0
	}
	return now + stores.FetchWindow.Milliseconds()
}
