package siteentry

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/site/watch"
)

const (
	// leadsWait is how long a relay may hold a poll.
	leadsWait = time.Second
	// leadsRetry is the time until a poll that got no answer is sent again.
	leadsRetry = 50 * time.Millisecond
)

// followLeads asks the relay what holders of the lease tell of stores and orders, on
// a site of many entries, until ctx ends.
func (h *hints) followLeads(ctx context.Context) {
	for catching := false; ctx.Err() == nil; {
		relay := h.site.hintsFrom()
		if relay == "" || !h.site.isRelayed() {
			wait.For(ctx, relayLook)
			continue
		}
		sent := time.Now()
		all, err := h.askLeads(ctx, relay, catching)
		if err != nil {
			wait.For(ctx, leadsRetry)
			continue
		}
		catching = false
		for _, l := range all {
			catching = catching || l.More
			h.site.takeLead(l, sent, h.config.Logger)
		}
	}
}

func (h *hints) askLeads(ctx context.Context, relay string, catching bool) ([]watch.HolderState, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return rpc.Call(ctx, h.node, relay, watch.HolderStates, watch.HolderStatesPoll{
		Watcher: h.watcher, Positions: h.site.positions(), CatchingUp: catching, Wait: leadsWait,
	})
}

// isRelayed returns whether what holders of the lease tell comes through the relay.
func (s *site) isRelayed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relayed
}

// setRelayed says whether what holders of the lease tell comes through the relay from
// now on. What was told by the other way is forgotten: nobody counts on this entry any
// more to know what has changed of it.
func (s *site) setRelayed(relayed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if relayed == s.relayed {
		return
	}
	s.relayed = relayed
	clear(s.copies)
	for address, l := range s.leads {
		fresh := newLead(l.epoch)
		fresh.polled, fresh.zone, fresh.epochs = l.polled, l.zone, l.epochs
		s.leads[address] = fresh
	}
}

// positions returns how far this entry has each copy of the relay.
func (s *site) positions() map[string]watch.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]watch.Position, len(s.copies))
	for address, l := range s.copies {
		all[address] = l.copied
	}
	return all
}

// takeLead takes what the relay tells of a holder of the lease, in answer to a poll
// that was sent at that time.
func (s *site) takeLead(told watch.HolderState, sent time.Time, logger log.Interface) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.relayed {
		return
	}
	l, ok := s.copies[told.Address]
	if !ok || l.copied.Epoch != told.Position.Epoch {
		// All rows of the copy come.
		l = newLead(told.Epoch)
		s.copies[told.Address] = l
	}
	l.copied = told.Position
	// The relay's word is no fresher than its own poll, and its answer may have waited.
	l.hear(told.Fencing, sent.Add(-told.Age), told.More)
	for _, r := range told.Rows {
		if err := l.take(r); err != nil {
			event.NoticeRefused.Write(logger, log.Fields{"peer": told.Address, "notice": "relayed row", "topic": r.Topic, "key": r.Key, "error": err.Error()})
		}
	}
	s.noteInformed()
}
