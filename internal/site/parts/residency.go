package parts

import (
	"sync"
	"time"

	"hornbeamwood/internal/site/stores"
)

const (
	// memoryShare is the part of an engine's memory that is taken for cached
	// parts while the engine isn't followed; the rest holds running requests.
	memoryShare = 0.55
	// maxHolders bounds the engines that are remembered for a part.
	maxHolders = 4
	// pendingFor is how long a part counts as read that was sent to an engine and
	// doesn't show up in what the engine says of itself: reading waits behind other
	// prompts, and the word of it comes later still.
	pendingFor = 2 * time.Second
	// partialSlack is how many tokens of a part may be missing for it to count as
	// kept: memory goes by blocks.
	partialSlack = 64
)

// Holder is an engine that has read a part, or is about to.
type Holder struct {
	// Server is the engine's ID.
	Server string
	// Since is when it was sent there, zero when the engine itself says that it has the part.
	Since time.Time
}

// Residency tells what lies in the memory of engines: by what they say of
// themselves, and where that isn't known by the requests that were sent there.
type Residency interface {
	// Note remembers that an engine of so many tokens reads the part.
	Note(server, salt, part string, tokens, capacity int, now time.Time)
	// Confirm takes what an engine says that it keeps: the tokens of each part of at
	// least so many, by stores.Part's hash; a nil map means that it isn't known any more.
	Confirm(server string, kept map[uint64]int, least int)
	// Holds returns whether the engine has the part, or will before a request that is sent now.
	Holds(server, salt, part string, tokens int, now time.Time) bool
	// Holders returns the engines that have the part, the latest first.
	Holders(salt, part string, tokens int, now time.Time) []Holder
	// Forget drops what is remembered of an engine.
	Forget(server string)
}

type memory struct {
	mu      sync.Mutex
	engines map[string]*engine
	// holders are the engines by part, of guesses and of what engines say.
	holders map[uint64][]string
}

// NewResidency returns a Memory of nothing.
func NewResidency() Residency {
	return &memory{engines: map[string]*engine{}, holders: map[uint64][]string{}}
}

func hash(salt, part string) uint64 {
	return stores.Part{Salt: salt, ID: part}.Hash()
}

// engine returns what is known of an engine; the caller holds the lock.
func (m *memory) engine(server string) *engine {
	e, ok := m.engines[server]
	if !ok {
		e = newEngine()
		m.engines[server] = e
	}
	return e
}

// Note implements Memory.
func (m *memory) Note(server, salt, part string, tokens, capacity int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := hash(salt, part)
	m.hold(h, server)
	for _, gone := range m.engine(server).note(h, tokens, capacity, now) {
		m.release(gone, server)
	}
}

// Confirm implements Memory.
func (m *memory) Confirm(server string, kept map[uint64]int, least int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, gone := range m.engine(server).confirm(kept, least) {
		m.release(gone, server)
	}
	for h := range kept {
		m.hold(h, server)
	}
}

// hold puts the engine in front of those that have the part.
func (m *memory) hold(h uint64, server string) {
	all := make([]string, 1, maxHolders)
	all[0] = server
	for _, o := range m.holders[h] {
		if o != server && len(all) < maxHolders {
			all = append(all, o)
		}
	}
	m.holders[h] = all
}

func (m *memory) release(h uint64, server string) {
	all := m.holders[h]
	kept := make([]string, 0, len(all))
	for _, o := range all {
		if o != server {
			kept = append(kept, o)
		}
	}
	if len(kept) == 0 {
		delete(m.holders, h)
		return
	}
	m.holders[h] = kept
}

// Holds implements Memory.
func (m *memory) Holds(server, salt, part string, tokens int, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.engines[server]
	if !ok {
		return false
	}
	_, ok = e.holds(hash(salt, part), tokens, now)
	return ok
}

// Holders implements Memory.
func (m *memory) Holders(salt, part string, tokens int, now time.Time) []Holder {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := hash(salt, part)
	var all []Holder
	for _, server := range m.holders[h] {
		if since, ok := m.engines[server].holds(h, tokens, now); ok {
			all = append(all, Holder{Server: server, Since: since})
		}
	}
	return all
}

// Forget implements Memory.
func (m *memory) Forget(server string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.engines[server]
	if !ok {
		return
	}
	for _, h := range e.all() {
		m.release(h, server)
	}
	delete(m.engines, server)
}
