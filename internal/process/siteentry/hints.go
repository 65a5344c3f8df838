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
	// relayCheckInterval is the interval at which the relay is chosen again.
	relayCheckInterval = 100 * time.Millisecond
	// relayTimeout is the maximum age of the relay's last answer: a poll that waits for a change, and a margin
	// for its answer.
	relayTimeout = 1700 * time.Millisecond
)

// hints exchanges data that improves server choices with one replica, the relay.
type hints struct {
	*process
	watcher  string
	follower watch.Follower
	// entries is the number of entries that the relay serves.
	entries atomic.Int64
}

func newHints(p *process, watcher string) *hints {
	h := &hints{process: p, watcher: watcher}
	h.follower = watch.NewFollower(watch.FollowerConfig{
		Method: watch.Hints, Node: p.node, Watcher: watcher, Entry: true, Apply: h.apply, Logger: p.config.Logger,
	})
	return h
}

// servedEntries returns the number of entries that the relay serves.
func (h *hints) servedEntries() int {
	return int(h.entries.Load())
}

// run keeps choosing and following the relay until ctx ends.
func (h *hints) run(ctx context.Context) {
	for ctx.Err() == nil {
		h.follow(ctx, h.site.chooseRelay(h.config.Host.Zone, h.watcher, time.Now()))
		h.site.setRelayed(h.site.manyEntries())
		wait.For(ctx, relayCheckInterval)
	}
}

// follow switches to the given relay if it is a different one.
func (h *hints) follow(ctx context.Context, relay string) {
	before := h.site.currentRelay()
	if relay == before {
		return
	}
	h.site.setRelay(relay)
	event.RelayChosen.Write(h.config.Logger, log.Fields{"relay": relay, "before": before})
	if relay == "" {
		h.site.clearEngineCaches()
		h.follower.Follow(ctx, nil)
		return
	}
	h.follower.Follow(ctx, []string{relay})
	if before != "" {
		h.withdrawLoads(ctx, before)
	}
}

// withdrawLoads reports to the previous relay that this entry has no requests at engines. Its loads would
// otherwise be counted there and at the next relay until the last report to the previous one expires.
func (h *hints) withdrawLoads(ctx context.Context, before string) {
	report, _ := h.site.peerLoads.NextReport(share.Loads{}, true, time.Now())
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	// A relay that is lost counts no loads any more.
	_ = rpc.Notify(ctx, h.node, before, watch.Loads, report)
}

func (h *hints) apply(address string, a watch.Answer, _ time.Time) {
	if address != h.site.currentRelay() {
		return
	}
	h.entries.Store(int64(a.Entries))
	h.site.applyHints(relayStart{address, a.Epoch}, a.Rows, h.config.Logger)
}

// relayStart is one incarnation of a relay.
type relayStart struct {
	address string
	epoch   uint64
}

// applyHints applies rows of a relay. Rows of another relay, or of another incarnation of this one, stay valid
// until its first answer, which contains all rows.
func (s *site) applyHints(from relayStart, rows []rowtable.Row, logger log.Interface) {
	if s.setHintSource(from) {
		s.clearEngineCaches()
	}
	for _, r := range rows {
		if err := s.applyHint(r); err != nil {
			event.NoticeRefused.Write(logger, log.Fields{"peer": from.address, "notice": "hint", "topic": r.Topic, "key": r.Key, "error": err.Error()})
		}
	}
}

// setHintSource records the source of the hints and reports whether it has changed.
func (s *site) setHintSource(from relayStart) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.hintSource != from
	s.hintSource = from
	return changed
}

// applyHint applies a row of the relay.
func (s *site) applyHint(r rowtable.Row) error {
	switch r.Topic {
	case topic.Loads:
		defer s.onPeerLoads()
		return decodeRow(r, func(sum share.Sum) { s.peerLoads.Apply(sum, time.Now()) })
	case topic.Prefills:
		return decodeRow(r, s.applyPrefill)
	case topic.EngineCaches:
		return s.applyEngineCache(r)
	}
	// The topic comes from a newer replica version.
	return nil
}

// currentRelay returns the relay's address, empty for none.
func (s *site) currentRelay() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay
}

func (s *site) setRelay(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relay = address
}

// manyEntries reports whether there are so many entries that they use more than one relay. Once there were, half
// of that number is the threshold, so that a few entries that come and go don't switch the mode.
func (s *site) manyEntries() bool {
	entries := s.Entries()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.relayed {
		return entries > watch.MaxSingleRelayEntries/2
	}
	return entries > watch.MaxSingleRelayEntries
}

// chooseRelay returns the address of the replica that this entry exchanges hints with, empty while none answers.
func (s *site) chooseRelay(zone, watcher string, now time.Time) string {
	many := s.manyEntries()
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []candidateRelay
	holder := s.holder()
	for a, state := range s.directStates {
		if now.Sub(state.lastAnswer) < relayTimeout {
			candidates = append(candidates, candidateRelay{address: a, sameZone: state.zone == zone, holder: state.reports(holder)})
		}
	}
	return pickRelay(candidates, many, watcher)
}
