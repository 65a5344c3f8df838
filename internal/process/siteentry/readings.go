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
	// readingsInterval is the time between two notices of what engines read while
	// there are few entries: the next request for a part comes seconds later as a
	// rule, within the reading of a long one at worst.
	readingsInterval = 30 * time.Millisecond
	// maxReadings bounds what waits to be told; what is dropped is read again at worst.
	maxReadings = 512
	// usesInterval is the time between two notices of the parts that were asked for, well within the time after which one counts as idle.
	usesInterval = 2 * time.Second
	// maxUses bounds what one notice tells.
	maxUses = 4096
	// loadsInterval is the time between two posts of this entry's loads while there
	// are few entries, a tenth of the time that a long prompt is read for.
	loadsInterval = 25 * time.Millisecond
	// entriesPerInterval is for how many entries the interval holds; it grows with more.
	entriesPerInterval = 16
	// loadsRefresh is how often loads are posted that have not changed.
	loadsRefresh = 500 * time.Millisecond
	// noticeTimeout bounds one notice.
	noticeTimeout = 500 * time.Millisecond
)

// ReportPrefill implements caller.Site.
//
// Entries don't ask each other before they send a request. Without this notice
// each of them would have every part read once more, by an engine of its own
// choice, until the part shows up in a store.
func (s *site) ReportPrefill(salt, part string, tokens int, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.readings) < maxReadings {
		s.readings = append(s.readings, watch.Prefill{Salt: salt, Part: part, Tokens: tokens, Server: server})
	}
}

// takeReading remembers what another entry's request has an engine read.
func (s *site) takeReading(r watch.Prefill) {
	t := s.Table()
	v, ok := s.Server(r.Server)
	if t == nil || !ok {
		return
	}
	if x, ok := t.Service(v.Service); ok && x.Engine != nil {
		s.memory.Note(r.Server, r.Salt, r.Part, r.Tokens, x.Engine.CapacityTokens, time.Now())
	}
}

// use notes that a part was asked for; the caller holds the lock.
func (s *site) use(p stores.Part) {
	if len(s.uses) < maxUses {
		s.uses[p.Hash()] = struct{}{}
	}
}

// leader returns the address of the replica that holds the lease, empty for none; the caller holds the lock.
func (s *site) leader() string {
	l := s.holder()
	for a, x := range s.told() {
		if x == l {
			return a
		}
	}
	return ""
}

// pendingReadings returns what is to be told, and the replica to tell it to.
func (s *site) pendingReadings() ([]watch.Prefill, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.readings
	s.readings = nil
	return all, s.relay
}

// pendingUses returns what is to be told, and the replica to tell it to.
func (s *site) pendingUses() ([]uint64, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Collect(maps.Keys(s.uses))
	clear(s.uses)
	return all, s.leader()
}

// tellReadings tells what engines read until ctx ends.
func (p *process) tellReadings(ctx context.Context) {
	tell(ctx, p.node, func() time.Duration { return p.scaled(readingsInterval) }, watch.Prefills, p.site.pendingReadings)
}

// tellUses tells which parts were asked for until ctx ends.
func (p *process) tellUses(ctx context.Context) {
	tell(ctx, p.node, func() time.Duration { return usesInterval }, watch.PartUses, p.site.pendingUses)
}

// scaled returns an interval for the number of entries that the relay serves, so
// that what they tell it together doesn't grow with them.
func (p *process) scaled(d time.Duration) time.Duration {
	d *= time.Duration(1 + p.hints.served()/entriesPerInterval)
	if p.site.many() {
		return max(d, watch.LargeSitePause)
	}
	return d
}

// tellLoads tells what this entry has at each engine until ctx ends.
func (p *process) tellLoads(ctx context.Context) {
	quiet := 0
	for ctx.Err() == nil {
		interval := p.scaled(loadsInterval)
		wait.For(ctx, interval)
		quiet++
		force := time.Duration(quiet)*interval >= loadsRefresh
		post, changed := p.site.others.NextReport(p.loads(), force, time.Now())
		address := p.site.hintsFrom()
		if !changed || address == "" {
			continue
		}
		quiet = 0
		telling, cancel := context.WithTimeout(ctx, noticeTimeout)
		// The next post says it all again.
		_ = rpc.Notify(telling, p.node, address, watch.Loads, post)
		cancel()
	}
}

// loads returns what this entry has at each engine, and in its line.
func (p *process) loads() share.Loads {
	all := p.tracker.Loads()
	for urgency, tokens := range p.line.WaitingTokens() {
		all[share.QueueKey(urgency)] = share.Load{ReservedTokens: tokens}
	}
	return all
}

// tell sends what is pending at each interval.
func tell[T any](ctx context.Context, node rpc.Node, interval func() time.Duration, n rpc.Notice[[]T], pending func() ([]T, string)) {
	for ctx.Err() == nil {
		wait.For(ctx, interval())
		all, address := pending()
		if len(all) == 0 || address == "" {
			continue
		}
		telling, cancel := context.WithTimeout(ctx, noticeTimeout)
		// A lost notice costs a part that is read once more.
		_ = rpc.Notify(telling, node, address, n, all)
		cancel()
	}
}
