package completion

import (
	"math/rand/v2"
	"sync"
)

// lockedSource makes a random source safe for concurrent use.
type lockedSource struct {
	mu     sync.Mutex
	source *rand.Rand
}

// Uint64 implements rand.Source.
func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}
