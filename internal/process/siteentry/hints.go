package siteentry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

const (
	// relayLook is the time between two looks which replica is the relay.
	relayLook = 100 * time.Millisecond
	// relayTimeout is how long a replica may have answered nothing to be the relay:
	// a poll that waits for a change, and the slack of its answer.
	relayTimeout = 1700 * time.Millisecond
)

// hints exchanges with one replica, the relay, what makes choices better.
type hints struct {
	*process
	watcher  string
	follower watch.Follower
	// entries is how many entries the relay serves.
	entries atomic.Int64
}

func newHints(p *process, watcher string) *hints {
	h := &hints{process: p, watcher: watcher}
	h.follower = watch.NewFollower(watch.FollowerConfig{
		Method: watch.Hints, Node: p.node, Watcher: watcher, Entry: true, Apply: h.take, Logger: p.config.Logger,
	})
	return h
}

// served returns how many entries the relay serves.
func (h *hints) served() int {
	return int(h.entries.Load())
}

// run keeps to the relay until ctx ends.
func (h *hints) run(ctx context.Context) {
	for ctx.Err() == nil {
		h.follow(ctx, h.site.chooseRelay(h.config.Host.Zone, h.watcher, time.Now()))
		h.site.setRelayed(h.site.many())
		wait.For(ctx, relayLook)
	}
}

// follow goes over to another relay, if it is one.
func (h *hints) follow(ctx context.Context, relay string) {
	before := h.site.hintsFrom()
	if relay == before {
		return
	}
	h.site.setRelay(relay)
	event.RelayChosen.Write(h.config.Logger, log.Fields{"relay": relay, "before": before})
	if relay == "" {
		h.site.forgetCaches()
		h.follower.Follow(ctx, nil)
		return
	}
	h.follower.Follow(ctx, []string{relay})
	if before != "" {
		h.takeLeave(ctx, before)
	}
}

// takeLeave tells the relay of before that this entry has nothing at engines, for it
// would be counted there and at the next one until the word of before is too old.
func (h *hints) takeLeave(ctx context.Context, before string) {
	post, _ := h.site.others.NextReport(share.Loads{}, true, time.Now())
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	// A relay that is lost counts nothing any more.
	_ = rpc.Notify(ctx, h.node, before, watch.Loads, post)
}

func (h *hints) take(address string, a watch.Answer, _ time.Time) {
	if address != h.site.hintsFrom() {
		return
	}
	h.entries.Store(int64(a.Entries))
	h.site.takeHints(relayStart{address, a.Epoch}, a.Rows, h.config.Logger)
}

// relayStart is one start of a relay.
type relayStart struct {
	address string
	epoch   uint64
}

// takeHints takes rows of a relay. What another relay told, or another start of it,
// counts until the first answer, with which all rows come.
func (s *site) takeHints(from relayStart, rows []rowtable.Row, logger log.Interface) {
	if s.changeHinted(from) {
		s.forgetCaches()
	}
	for _, r := range rows {
		if err := s.takeHint(r); err != nil {
			event.NoticeRefused.Write(logger, log.Fields{"peer": from.address, "notice": "hint", "topic": r.Topic, "key": r.Key, "error": err.Error()})
		}
	}
}

// changeHinted notes whose hints are taken and returns whether others' were before.
func (s *site) changeHinted(from relayStart) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.hinted != from
	s.hinted = from
	return changed
}

// takeHint takes a row of the relay.
func (s *site) takeHint(r rowtable.Row) error {
	switch r.Topic {
	case topic.Loads:
		defer s.changed()
		return decoded(r, func(sum share.Sum) { s.others.Apply(sum, time.Now()) })
	case topic.Prefills:
		return decoded(r, s.takeReading)
	case topic.EngineCaches:
		return s.takeCache(r)
	}
	// A topic of a newer replica.
	return nil
}

// hintsFrom returns the relay's address, empty for none.
func (s *site) hintsFrom() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay
}

func (s *site) setRelay(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relay = address
}

// many returns whether there are so many entries that each keeps to a relay of its
// own. Once there were, half of them are enough, so that few that come and go change nothing.
func (s *site) many() bool {
	entries := s.Entries()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.relayed {
		return entries > watch.MaxSingleRelayEntries/2
	}
	return entries > watch.MaxSingleRelayEntries
}

// chooseRelay returns the address of the replica that this entry exchanges hints
// with, empty while none answers.
func (s *site) chooseRelay(zone, watcher string, now time.Time) string {
	many := s.many()
	s.mu.Lock()
	defer s.mu.Unlock()
	var known []candidateRelay
	for a, l := range s.leads {
		if now.Sub(l.polled) < relayTimeout {
			known = append(known, candidateRelay{address: a, near: l.zone == zone, holder: l == s.holder()})
		}
	}
	return pickRelay(known, many, watcher)
}
