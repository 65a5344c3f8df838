package parts

import (
	"container/list"
	"sync"
	"time"
)

// memoryShare is the part of an engine's memory that is taken for cached
// parts; the rest holds running requests.
const memoryShare = 0.55

// maxHolders bounds the engines that are remembered for a part.
const maxHolders = 4

// Holder is an engine that has read a part, or is about to.
type Holder struct {
	// Server is the engine's ID.
	Server string
	// Since is when it was sent there.
	Since time.Time
}

// Memory guesses what lies in the memory of engines from the requests that were sent there.
type Memory interface {
	// Note remembers that an engine of so many tokens reads the part.
	Note(server, salt, part string, tokens, capacity int, now time.Time)
	// Holds returns whether the engine probably has the part, or will before a request that is sent now.
	Holds(server, salt, part string) bool
	// Holders returns the engines that probably have the part, the latest first.
	Holders(salt, part string) []Holder
	// Forget drops what is remembered of an engine.
	Forget(server string)
}

type held struct {
	key    string
	tokens int
}

// engine is the guess for one engine: what was used longest ago is gone first.
type engine struct {
	order *list.List
	parts map[string]*list.Element
	used  int
}

type memory struct {
	mu      sync.Mutex
	engines map[string]*engine
	holders map[string][]Holder
}

// NewMemory returns a Memory of nothing.
func NewMemory() Memory {
	return &memory{engines: map[string]*engine{}, holders: map[string][]Holder{}}
}

func partKey(salt, part string) string {
	return salt + "\x00" + part
}

// Note implements Memory.
func (m *memory) Note(server, salt, part string, tokens, capacity int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.engines[server]
	if !ok {
		e = &engine{order: list.New(), parts: map[string]*list.Element{}}
		m.engines[server] = e
	}
	k := partKey(salt, part)
	if at, ok := e.parts[k]; ok {
		e.order.MoveToFront(at)
		return
	}
	e.parts[k] = e.order.PushFront(held{key: k, tokens: tokens})
	e.used += tokens
	m.hold(k, Holder{Server: server, Since: now})
	for e.used > int(memoryShare*float64(capacity)) && e.order.Len() > 1 {
		last := e.order.Remove(e.order.Back()).(held)
		delete(e.parts, last.key)
		e.used -= last.tokens
		m.release(last.key, server)
	}
}

func (m *memory) hold(key string, h Holder) {
	all := append([]Holder{h}, m.holders[key]...)
	m.holders[key] = all[:min(len(all), maxHolders)]
}

func (m *memory) release(key, server string) {
	all := m.holders[key]
	kept := make([]Holder, 0, len(all))
	for _, h := range all {
		if h.Server != server {
			kept = append(kept, h)
		}
	}
	if len(kept) == 0 {
		delete(m.holders, key)
		return
	}
	m.holders[key] = kept
}

// Holds implements Memory.
func (m *memory) Holds(server, salt, part string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.engines[server]
	if !ok {
		return false
	}
	_, ok = e.parts[partKey(salt, part)]
	return ok
}

// Holders implements Memory.
func (m *memory) Holders(salt, part string) []Holder {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holders[partKey(salt, part)]
}

// Forget implements Memory.
func (m *memory) Forget(server string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.engines[server]
	if !ok {
		return
	}
	for k := range e.parts {
		m.release(k, server)
	}
	delete(m.engines, server)
}
