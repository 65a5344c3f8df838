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
	// storeEpochTTL is how long a replica's report of a store's incarnation is valid without a newer answer of
	// that replica. Replicas answer at least every second.
	storeEpochTTL = 2 * time.Second
	// saveRetryAfter is how long this entry waits for a part that it had saved to be listed before it has it
	// saved again. A save takes a fraction of a second.
	saveRetryAfter = 2 * time.Second
	// maxSaves bounds the number of recent saves that are kept.
	maxSaves = 8192
	// smallPartTokens is the size under which a part goes to a store with low latency: transferring it takes
	// less than the latency of a slow one. Longer parts go to all stores in proportion to their link rates.
	smallPartTokens = 1024
	// fastStoreLatency is the latency up to which a store counts as fast.
	fastStoreLatency = 2 * time.Millisecond
	// maxFillShare is the fill level up to which more parts are sent to a store. The rest is for parts that are
	// still being saved.
	maxFillShare = 0.97
	// maxLongPartFillShare is the fill level up to which long parts are sent to a fast store. The rest is for
	// short parts, which only fast stores serve well.
	maxLongPartFillShare = 0.4
)

// holderState is the state of stores and orders as a replica reports it under one lease for orders.
type holderState struct {
	// fencing is the fencing number of the lease, lastContact when the replica last answered as its holder.
	fencing     uint64
	lastContact time.Time
	// parts maps part and store to the size in tokens, usedTokens each store to the sum of these.
	parts       map[uint64]map[uint32]int
	usedTokens  map[uint32]int
	stores      map[string]topic.StoreState
	busyServers map[string]bool
}

func newHolderState(fencing uint64) *holderState {
	return &holderState{fencing: fencing, parts: map[uint64]map[uint32]int{}, usedTokens: map[uint32]int{}, stores: map[string]topic.StoreState{}, busyServers: map[string]bool{}}
}

// observeReplica records an answer of a replica and its claim to the lease.
func (s *site) observeReplica(address string, a watch.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.directStates[address]
	if !ok || state.epoch != a.Epoch {
		state = newReplicaState(a.Epoch)
		s.directStates[address] = state
	}
	state.lastAnswer, state.zone = time.Now(), a.Zone
	state.recordContact(a.Fencing, state.lastAnswer, a.More)
}

// recordContact records an answer of the replica while it holds the lease, as of that time. An answer in several
// pieces refreshes the state only with the last of them, since a later piece may report that a store is down.
func (r *replicaState) recordContact(fencing uint64, at time.Time, more bool) {
	if fencing == 0 {
		return
	}
	if h := r.lease(fencing); h != nil && !more {
		h.lastContact = at
	}
}

// ageStates adds the time for which this process was suspended, which its clock doesn't count, to the age of all
// answers and reported states.
func (s *site) ageStates(suspended time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt, s.resumedAt = time.Time{}, time.Now()
	for address, at := range s.caughtUp {
		s.caughtUp[address] = at.Add(-suspended)
	}
	for _, states := range []map[string]*replicaState{s.directStates, s.mirroredStates} {
		for _, state := range states {
			state.age(suspended)
		}
	}
}

// holder returns the state reported by the current lease holder, nil when no holder has answered recently.
func (s *site) holder() *holderState {
	return s.latestHolder(func(*holderState) bool { return true })
}

// storeState returns the state that is used for stores, nil when no holder has answered recently. It is that of
// the current lease holder once the holder has reported every store, and until then that of the previous one.
//
// Parts that were reported long ago may have been freed since. Engines would then fetch a part that is gone or
// is being written. A new holder frees nothing before all earlier reports have become stale. If its state were
// used from the first store that it has listed, the parts in all other stores would be prefilled again
// meanwhile.
func (s *site) storeState() *holderState {
	t := s.Table()
	if h := s.latestHolder(func(h *holderState) bool { return h.complete(t) }); h != nil {
		return h
	}
	return s.latestHolder(func(h *holderState) bool { return len(h.stores) > 0 })
}

// holderStates returns the states of replicas: as mirrored by the relay while relayed is set, otherwise as
// received directly. The caller holds the lock.
func (s *site) holderStates() map[string]*replicaState {
	if s.relayed {
		return s.mirroredStates
	}
	return s.directStates
}

// latestHolder returns the state with the highest fencing number among those that are fresh and satisfy the
// condition.
func (s *site) latestHolder(condition func(*holderState) bool) *holderState {
	var found *holderState
	for _, replica := range s.holderStates() {
		for _, state := range replica.leases {
			if time.Since(state.lastContact) < stores.StaleAfter && condition(state) && (found == nil || state.fencing > found.fencing) {
				found = state
			}
		}
	}
	return found
}

func (s *site) applyHolderRow(address string, r rowtable.Row) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.directStates[address]
	if !ok {
		return nil
	}
	return state.apply(r)
}

// complete reports whether the replica has reported every store. It lists one after the other.
func (h *holderState) complete(t document.Table) bool {
	if t == nil {
		return false
	}
	for _, x := range t.Document().Stores {
		if _, ok := h.stores[x.Address]; !ok {
			return false
		}
	}
	return true
}

func (s *site) applyLoadedWeights(server string, l topic.LoadedWeights) {
	if known, ok := s.directory.Get(server); ok && known.StartedAt == l.StartedAt {
		s.ObserveVersion(server, l.Model, l.Version)
	}
}

// Busy implements caller.Site.
func (s *site) Busy(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holder()
	return h != nil && h.busyServers[server]
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
	h := s.storeState()
	if h == nil {
		return nil
	}
	s.recordUse(p)
	held := h.parts[p.Hash()]
	if len(held) == 0 {
		return nil
	}
	var all []choose.Copy
	for _, x := range t.Document().Stores {
		if size, ok := held[stores.ShortAddress(x.Address)]; ok && size >= tokens && h.stores[x.Address].Usable && s.sameIncarnation(h, x.Address) {
			all = append(all, storeCopy(x, tokenBytes(t.Document())))
		}
	}
	return all
}

// StoreState implements caller.Site.
func (s *site) StoreState() (time.Duration, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.storeState()
	if h == nil {
		return 0, 0
	}
	return time.Since(h.lastContact), h.fencing
}

// sameIncarnation reports whether the store is still the incarnation that was listed under the lease: while the
// holder answers, unless a replica has seen another one, and later only if another replica confirms it.
func (s *site) sameIncarnation(h *holderState, store string) bool {
	listed, answers := h.stores[store].Epoch, time.Since(h.lastContact) < storeEpochTTL
	confirmed := answers
	for _, r := range s.directStates {
		epoch, ok := r.storeEpochs[store]
		if !ok || time.Since(r.lastAnswer) > storeEpochTTL {
			continue
		}
		// A replica that doesn't reach the store may be cut off itself, which matters once the holder is silent.
		if epoch != listed && (epoch != 0 || !answers) {
			return false
		}
		confirmed = confirmed || !r.reports(h)
	}
	return confirmed
}

func storeCopy(s document.Store, tokenBytes float64) choose.Copy {
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
// The order of stores for a part is the same at all entries, so that two entries whose engines prefill a part at
// the same time save it to the same store.
func (s *site) SaveTarget(salt, part string, tokens int) string {
	t := s.Table()
	if t == nil {
		return ""
	}
	now, p := time.Now(), stores.Part{Salt: salt, ID: part}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.storeState()
	if h == nil || len(h.parts[p.Hash()]) > 0 || now.Sub(s.recentSaves[p]) < saveRetryAfter {
		return ""
	}
	for _, x := range placement(t.Document().Stores, p, tokens) {
		share := maxFillShare
		if tokens >= smallPartTokens && x.Latency <= fastStoreLatency {
			share = maxLongPartFillShare
		}
		if h.stores[x.Address].Usable && float64(h.usedTokens[stores.ShortAddress(x.Address)]+tokens) <= share*float64(x.CapacityTokens) {
			s.recordSave(p, now)
			return x.Address
		}
	}
	return ""
}

func (s *site) recordSave(p stores.Part, now time.Time) {
	if len(s.recentSaves) >= maxSaves {
		clear(s.recentSaves)
	}
	s.recentSaves[p] = now
}

// FetchDeadline implements caller.Site.
func (s *site) FetchDeadline() int64 {
	now := s.clock.Now()
	if now == 0 {
		return 0
	}
	return now + stores.FetchWindow.Milliseconds()
}
