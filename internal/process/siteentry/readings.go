package siteentry

import (
	"context"
	"time"

	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/site/watch"
)

const (
	// readingsInterval is the time between two notices of what engines read: the
	// next request for a part comes seconds later as a rule, within the reading of
	// a long one at worst.
	readingsInterval = 30 * time.Millisecond
	// maxReadings bounds what waits to be told; what is dropped is read again at worst.
	maxReadings = 512
	// noticeTimeout bounds one notice.
	noticeTimeout = 500 * time.Millisecond
)

// Reads implements caller.Site.
//
// Entries don't ask each other before they send a request. Without this notice
// each of them would have every part read once more, by an engine of its own
// choice, until the part shows up in a store.
func (s *site) Reads(salt, part string, tokens int, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.readings) < maxReadings {
		s.readings = append(s.readings, watch.Reading{Salt: salt, Part: part, Tokens: tokens, Server: server})
	}
}

// takeReading remembers what another entry's request has an engine read.
func (s *site) takeReading(r watch.Reading) {
	t := s.Table()
	v, ok := s.Server(r.Server)
	if t == nil || !ok {
		return
	}
	if x, ok := t.Service(v.Service); ok && x.Engine != nil {
		s.memory.Note(r.Server, r.Salt, r.Part, r.Tokens, x.Engine.Tokens, time.Now())
	}
}

// pending returns what is to be told, and the replica to tell it to.
func (s *site) pending() ([]watch.Reading, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := ""
	l := s.leading()
	for a, x := range s.leads {
		if x == l {
			address = a
		}
	}
	all := s.readings
	s.readings = nil
	return all, address
}

// tellReadings tells until ctx ends.
func (p *process) tellReadings(ctx context.Context) {
	t := time.NewTicker(readingsInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		all, address := p.site.pending()
		if len(all) == 0 || address == "" {
			continue
		}
		telling, cancel := context.WithTimeout(ctx, noticeTimeout)
		// A lost notice costs one more reading.
		_ = rpc.Notify(telling, p.node, address, watch.Readings, all)
		cancel()
	}
}
