package siteentry

import (
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/topic"
)

// takeCache takes what the relay tells of an engine's memory.
//
// Hints and announcements come by different ways; what is told of a start that hasn't
// announced itself here is kept until it has, since it is told again only when it changes.
func (s *site) takeCache(r rowtable.Row) error {
	if len(r.Value) == 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.caches, r.Key)
		s.memory.Confirm(r.Key, nil, 0)
		return nil
	}
	return decoded(r, func(c topic.EngineCache) {
		s.mu.Lock()
		s.caches[r.Key] = c
		s.mu.Unlock()
		if known, ok := s.directory.Get(r.Key); ok {
			s.confirmCache(known)
		}
	})
}

// confirmCache applies what was told of the memory of this start of an engine.
func (s *site) confirmCache(v directory.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.caches[v.ID]
	if !ok || c.StartedAt != v.StartedAt {
		return
	}
	if c.Parts == nil {
		c.Parts = map[uint64]int{}
	}
	s.memory.Confirm(v.ID, c.Parts, c.MinPartTokens)
}

// forgetCaches goes back to guessing what lies in engines: no relay tells it any
// more, and what was there may have been dropped since.
func (s *site) forgetCaches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for server := range s.caches {
		s.memory.Confirm(server, nil, 0)
	}
	clear(s.caches)
}
