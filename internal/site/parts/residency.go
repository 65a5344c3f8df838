package parts

import (
	"sync"
	"time"

	"hornbeamwood/internal/site/stores"
)

const (
	// cachedShare is the share of an engine's memory that is assumed to hold cached
	// parts while the engine doesn't report them; the rest holds running requests.
	cachedShare = 0.55
	// maxHolders bounds the engines that are recorded for a part.
	maxHolders = 4
	// pendingTimeout is how long a part that was sent to an engine counts as cached although
	// the engine hasn't reported it: its prefill waits behind other prompts, and the report
	// arrives later still.
	pendingTimeout = 2 * time.Second
	// maxMissingTokens is how many tokens of a part may be missing for it to count as
	// cached, since memory is allocated in blocks.
	maxMissingTokens = 64
)

// Holder is an engine that has cached a part or is about to.
type Holder struct {
	// Server is the engine's ID.
	Server string
	// SentAt is when the part was sent to the engine, zero when the engine itself reports the part.
	SentAt time.Time
}

// Residency tracks which parts are in the memory of engines: from their reports, and
// without a report from the requests that were sent to them.
type Residency interface {
	// RecordSent records that the part was sent to an engine with a memory of capacity tokens.
	RecordSent(server, salt, part string, tokens, capacity int, now time.Time)
	// ApplyReport applies an engine's report of the cached tokens of each part of at least
	// minTokens, by the hash of its stores.Part. A nil map means that no report is available any more.
	ApplyReport(server string, reported map[uint64]int, minTokens int)
	// Holds returns whether the engine has the part, or will have it before a request that is sent now.
	Holds(server, salt, part string, tokens int, now time.Time) bool
	// Holders returns the engines that have the part, the most recent first.
	Holders(salt, part string, tokens int, now time.Time) []Holder
	// Forget removes all records of an engine.
	Forget(server string)
}

type residency struct {
	mu      sync.Mutex
	engines map[string]*engineCache
	// holders are the engines by part, both assumed and reported.
	holders map[uint64][]string
}

// NewResidency returns an empty Residency.
func NewResidency() Residency {
	return &residency{engines: map[string]*engineCache{}, holders: map[uint64][]string{}}
}

func hash(salt, part string) uint64 {
	return stores.Part{Salt: salt, ID: part}.Hash()
}

// engine returns the record of an engine and creates it if needed; the caller holds the lock.
func (r *residency) engine(server string) *engineCache {
	e, ok := r.engines[server]
	if !ok {
		e = newEngineCache()
		r.engines[server] = e
	}
	return e
}

// RecordSent implements Residency.
func (r *residency) RecordSent(server, salt, part string, tokens, capacity int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := hash(salt, part)
	r.addHolder(h, server)
	for _, evicted := range r.engine(server).recordSent(h, tokens, capacity, now) {
		r.removeHolder(evicted, server)
	}
}

// ApplyReport implements Residency.
func (r *residency) ApplyReport(server string, reported map[uint64]int, minTokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, evicted := range r.engine(server).applyReport(reported, minTokens) {
		r.removeHolder(evicted, server)
	}
	for h := range reported {
		r.addHolder(h, server)
	}
}

// addHolder puts the engine in front of those that have the part.
func (r *residency) addHolder(h uint64, server string) {
	all := make([]string, 1, maxHolders)
	all[0] = server
	for _, o := range r.holders[h] {
		if o != server && len(all) < maxHolders {
			all = append(all, o)
		}
	}
	r.holders[h] = all
}

func (r *residency) removeHolder(h uint64, server string) {
	all := r.holders[h]
	remaining := make([]string, 0, len(all))
	for _, o := range all {
		if o != server {
			remaining = append(remaining, o)
		}
	}
	if len(remaining) == 0 {
		delete(r.holders, h)
		return
	}
	r.holders[h] = remaining
}

// Holds implements Residency.
func (r *residency) Holds(server, salt, part string, tokens int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.engines[server]
	if !ok {
		return false
	}
	_, ok = e.holds(hash(salt, part), tokens, now)
	return ok
}

// Holders implements Residency.
func (r *residency) Holders(salt, part string, tokens int, now time.Time) []Holder {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := hash(salt, part)
	var all []Holder
	for _, server := range r.holders[h] {
		if since, ok := r.engines[server].holds(h, tokens, now); ok {
			all = append(all, Holder{Server: server, SentAt: since})
		}
	}
	return all
}

// Forget implements Residency.
func (r *residency) Forget(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.engines[server]
	if !ok {
		return
	}
	for _, h := range e.all() {
		r.removeHolder(h, server)
	}
	delete(r.engines, server)
}
