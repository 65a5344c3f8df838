package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Terms of the guarantee while a load balancer hands most new connections to one entry. From crowdContact on, requests
// that it has read are served at least crowdShare times as often as before.
const (
	crowdContact = 3 * time.Second
	crowdShare   = 3. / 4
)

const (
	// maxCrowdInterval is the longest time between two crowds. Each lasts for crowdDuration.
	maxCrowdInterval = 9 * time.Second
	crowdDuration    = 6 * time.Second
	// crowdSpan is how long the served requests are counted before and during a crowd.
	crowdSpan = 3 * time.Second
	// crowdNewShare is the share of requests for which callers open a new connection meanwhile.
	crowdNewShare = 0.7
)

// balancer is a stand-in for the load balancer in front of the entries: at times it hands nearly all new connections to
// one of them.
type balancer struct {
	// preferred is the index of that entry and one more, zero for none.
	preferred atomic.Int64
}

// entry returns to which entry a new connection of a caller leads, whose entry is otherwise own.
func (b *balancer) entry(own int) int {
	if p := b.preferred.Load(); p > 0 {
		return int(p - 1)
	}
	return own
}

// balance has the balancer choose the entry of a request. The attempt's ID names the entry, by which its checks go.
func (c *client) balance(q *request) {
	entry := c.balancer.entry(c.entry)
	if entry == c.entry {
		return
	}
	const movedClients = 1_000_000
	q.address = c.fronts[entry].address()
	q.id = fmt.Sprintf("%d-%d-%d", c.seed, entry+len(c.fronts)*(movedClients+c.number), q.number)
	q.closes = float64(q.number%10) < 10*crowdNewShare
}

// crowdEntries has the balancer prefer one entry at random times until end.
func crowdEntries(ctx context.Context, end time.Time, s *site) {
	r := rand.New(rand.NewPCG(s.seed, 89))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(maxCrowdInterval))))
		if !time.Now().Before(end) {
			return
		}
		s.preferOne(ctx, r, crowdDuration/2)
	}
}

// preferOne has the balancer prefer one entry, and another one in the second half of the time.
func (s *site) preferOne(ctx context.Context, r *rand.Rand, half time.Duration) {
	first := r.IntN(len(s.fronts))
	for i := range 2 {
		at := (first + i) % len(s.fronts)
		s.record.note("most new connections go to entry-%d", at)
		s.balancer.preferred.Store(int64(at) + 1)
		sleep(ctx, half)
	}
	s.balancer.preferred.Store(0)
	s.record.note("over: most new connections go to one entry")
}

// checkCrowd checks, while nothing else is disturbed, what callers get while the balancer prefers one entry.
func (s *site) checkCrowd(ctx context.Context, r *rand.Rand) {
	before := s.servedShare(ctx, crowdSpan)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.preferOne(ctx, r, (crowdContact+crowdSpan)/2)
	}()
	sleep(ctx, crowdContact)
	meanwhile := s.servedShare(ctx, crowdSpan)
	<-done
	s.record.note("while most new connections go to one entry: %.3f of the requests that were read are served, %.3f before", meanwhile, before)
	if meanwhile < crowdShare*before && ctx.Err() == nil {
		s.record.reportViolation("while most new connections go to one entry %.3f of the requests that were read are served, %.3f before", meanwhile, before)
	}
}

// servedShare returns which share of the requests that are answered in the next time is served.
func (s *site) servedShare(ctx context.Context, span time.Duration) float64 {
	served, read := s.record.tally()
	sleep(ctx, span)
	nowServed, nowRead := s.record.tally()
	return float64(nowServed-served) / float64(max(1, nowRead-read))
}
