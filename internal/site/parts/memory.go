package parts

import (
	"container/list"
	"sync"
)

// memoryShare is the part of an engine's memory that is taken for cached
// parts; the rest holds running requests.
const memoryShare = 0.55

// Memory guesses what lies in the memory of engines from the requests sent there.
type Memory interface {
	// Note remembers that the engine has read the part, in an engine of so many tokens.
	Note(server, salt, part string, tokens, capacity int)
	// Holds returns whether the engine probably has the part.
	Holds(server, salt, part string) bool
}

type held struct {
	key    string
	tokens int
}

type engine struct {
	order *list.List
	parts map[string]*list.Element
	used  int
}

type memory struct {
	mu      sync.Mutex
	engines map[string]*engine
}

// NewMemory returns a Memory of nothing.
func NewMemory() Memory {
	return &memory{engines: map[string]*engine{}}
}

func partKey(salt, part string) string {
	return salt + "\x00" + part
}

// Note implements Memory.
func (m *memory) Note(server, salt, part string, tokens, capacity int) {
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
	for e.used > int(memoryShare*float64(capacity)) && e.order.Len() > 1 {
		last := e.order.Remove(e.order.Back()).(held)
		delete(e.parts, last.key)
		e.used -= last.tokens
	}
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
