package siteentry

import (
	"time"

	"hornbeamwood/internal/site/board"
	"hornbeamwood/internal/site/topic"
)

// takeCache takes what a replica tells of an engine's memory. An engine that
// announces itself elsewhere is told of by another replica from then on.
func (s *site) takeCache(address string, r board.Row) error {
	if len(r.Value) == 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.forgetCaches(func(server, from string) bool { return server == r.Key && from == address })
		return nil
	}
	return decoded(r, func(c topic.Cache) {
		if known, ok := s.directory.Get(r.Key); !ok || known.Born != c.Born {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cachesFrom[r.Key] = address
		if c.Parts == nil {
			c.Parts = map[uint64]int{}
		}
		s.memory.Confirm(r.Key, c.Parts, c.Least)
	})
}

// forgetCaches goes back to guessing for the engines that the condition holds
// for; the caller holds the lock.
func (s *site) forgetCaches(condition func(server, from string) bool) {
	for server, from := range s.cachesFrom {
		if condition(server, from) {
			delete(s.cachesFrom, server)
			s.memory.Confirm(server, nil, 0)
		}
	}
}

// expireCaches goes back to guessing what lies in engines whose replica hasn't
// answered for a while: what was there then may have been dropped since.
func (s *site) expireCaches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetCaches(func(_, from string) bool {
		l, ok := s.leads[from]
		return !ok || time.Since(l.polled) > tellsFor
	})
}
