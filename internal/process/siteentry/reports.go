package siteentry

import (
	"context"
	"maps"
	"slices"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/watch"
)

const (
	// prefillsInterval is the interval of notices on prefills while there are few entries. The next request for
	// a part usually comes seconds later, at worst during the prefill of a long one.
	prefillsInterval = 30 * time.Millisecond
	// maxPendingPrefills bounds the prefills that wait to be reported. At worst the part of a dropped one is
	// prefilled again.
	maxPendingPrefills = 512
	// usedPartsInterval is the interval of notices on requested parts, well below the time after which a part
	// counts as idle.
	usedPartsInterval = 2 * time.Second
	// maxUsedParts bounds the parts in one notice.
	maxUsedParts = 4096
	// loadsInterval is the interval of load reports while there are few entries, a tenth of the prefill time of
	// a long prompt.
	loadsInterval = 25 * time.Millisecond
	// entriesPerInterval is the number of entries up to which the intervals hold. They grow with more.
	entriesPerInterval = 16
	// loadsRefresh is the interval at which unchanged loads are reported.
	loadsRefresh = 500 * time.Millisecond
	// noticeTimeout bounds one notice.
	noticeTimeout = 500 * time.Millisecond
)

// ReportPrefill implements caller.Site.
//
// Entries don't coordinate before they send a request. Without this notice each of them would have every
// part prefilled once more, by a different engine, until the part is listed by a store.
func (s *site) ReportPrefill(salt, part string, tokens int, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.prefills) < maxPendingPrefills {
		s.prefills = append(s.prefills, watch.Prefill{Salt: salt, Part: part, Tokens: tokens, Server: server})
	}
}

// applyPrefill records a part that an engine prefills for another entry's request.
func (s *site) applyPrefill(r watch.Prefill) {
	t := s.Table()
	v, ok := s.Server(r.Server)
	if t == nil || !ok {
		return
	}
	if x, ok := t.Service(v.Service); ok && x.Engine != nil {
		s.residency.RecordSent(r.Server, r.Salt, r.Part, r.Tokens, x.Engine.CapacityTokens, time.Now())
	}
}

// recordUse records that a part was requested. The caller holds the lock.
func (s *site) recordUse(p stores.Part) {
	if len(s.usedParts) < maxUsedParts {
		s.usedParts[p.Hash()] = struct{}{}
	}
}

// holderAddress returns the address of the lease holder, empty for none. The caller holds the lock.
func (s *site) holderAddress() string {
	h := s.holder()
	for a, x := range s.holderStates() {
		if x.reports(h) {
			return a
		}
	}
	return ""
}

// drainPrefills removes and returns the pending prefills, with the replica to report them to.
func (s *site) drainPrefills() ([]watch.Prefill, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.prefills
	s.prefills = nil
	return pending, s.relay
}

// drainUsedParts removes and returns the requested parts, with the replica to report them to.
func (s *site) drainUsedParts() ([]uint64, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := slices.Collect(maps.Keys(s.usedParts))
	clear(s.usedParts)
	return pending, s.holderAddress()
}

// reportPrefills reports what engines prefill until ctx ends.
func (p *process) reportPrefills(ctx context.Context) {
	reportPending(ctx, p.node, func() time.Duration { return p.scaledInterval(prefillsInterval) }, watch.Prefills, p.site.drainPrefills)
}

// reportUsedParts reports which parts were requested until ctx ends.
func (p *process) reportUsedParts(ctx context.Context) {
	reportPending(ctx, p.node, func() time.Duration { return usedPartsInterval }, watch.PartUses, p.site.drainUsedParts)
}

// scaledInterval scales an interval by the number of entries that the relay serves, so that the total rate of
// their reports doesn't grow with them.
func (p *process) scaledInterval(d time.Duration) time.Duration {
	d *= time.Duration(1 + p.hints.servedEntries()/entriesPerInterval)
	if p.site.manyEntries() {
		return max(d, watch.LargeSiteInterval)
	}
	return d
}

// reportLoads reports this entry's load at each engine until ctx ends.
func (p *process) reportLoads(ctx context.Context) {
	unchangedRounds := 0
	for ctx.Err() == nil {
		interval := p.scaledInterval(loadsInterval)
		wait.For(ctx, interval)
		unchangedRounds++
		force := time.Duration(unchangedRounds)*interval >= loadsRefresh
		report, changed := p.site.peerLoads.NextReport(p.loads(), force, time.Now())
		address := p.site.currentRelay()
		if !changed || address == "" {
			continue
		}
		unchangedRounds = 0
		notifyCtx, cancel := context.WithTimeout(ctx, noticeTimeout)
		// The next report contains all loads again.
		_ = rpc.Notify(notifyCtx, p.node, address, watch.Loads, report)
		cancel()
	}
}

// loads returns this entry's load at each engine and in its wait queue.
func (p *process) loads() share.Loads {
	all := p.tracker.Loads()
	for urgency, tokens := range p.queue.WaitingTokens() {
		all[share.QueueKey(urgency)] = share.Load{ReservedTokens: tokens}
	}
	return all
}

// reportPending sends what is pending at each interval.
func reportPending[T any](ctx context.Context, node rpc.Node, interval func() time.Duration, n rpc.Notice[[]T], pending func() ([]T, string)) {
	for ctx.Err() == nil {
		wait.For(ctx, interval())
		items, address := pending()
		if len(items) == 0 || address == "" {
			continue
		}
		notifyCtx, cancel := context.WithTimeout(ctx, noticeTimeout)
		// A lost notice costs at most one more prefill of a part.
		_ = rpc.Notify(notifyCtx, node, address, n, items)
		cancel()
	}
}
