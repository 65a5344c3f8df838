package siteentry

import (
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/topic"
)

// applyEngineCache applies a row of the relay on the KV cache of an engine.
//
// Hints and announcements come over different paths. A row on an incarnation that hasn't announced itself here
// yet is kept until it does, since the relay sends it again only when it changes.
func (s *site) applyEngineCache(r rowtable.Row) error {
	if len(r.Value) == 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.engineCaches, r.Key)
		s.residency.ApplyReport(r.Key, nil, 0)
		return nil
	}
	return decodeRow(r, func(c topic.EngineCache) {
		s.mu.Lock()
		s.engineCaches[r.Key] = c
		s.mu.Unlock()
		if known, ok := s.directory.Get(r.Key); ok {
			s.confirmEngineCache(known)
		}
	})
}

// confirmEngineCache applies the kept row on the KV cache of this incarnation of an engine.
func (s *site) confirmEngineCache(v directory.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.engineCaches[v.ID]
	if !ok || c.StartedAt != v.StartedAt {
		return
	}
	if c.Parts == nil {
		c.Parts = map[uint64]int{}
	}
	s.residency.ApplyReport(v.ID, c.Parts, c.MinPartTokens)
}

// clearEngineCaches returns to estimates of what engines have cached. No relay reports it any more, and the
// parts may have been evicted since.
func (s *site) clearEngineCaches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for server := range s.engineCaches {
		s.residency.ApplyReport(server, nil, 0)
	}
	clear(s.engineCaches)
}
