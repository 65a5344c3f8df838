package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Terms of the guarantee while a load balancer hands most new connections to one entry. From surgeContact on, requests
// that it has read are served at least surgeShare times as often as before.
const (
	surgeContact = 3 * time.Second
	surgeShare   = 3. / 4
)

const (
	// maxSurgeInterval is the longest time between two surges. Each lasts for surgeDuration.
	maxSurgeInterval = 9 * time.Second
	surgeDuration    = 6 * time.Second
	// surgeSpan is how long the served requests are counted before and during a surge.
	surgeSpan = 3 * time.Second
	// surgeNewShare is the share of requests for which callers open a new connection meanwhile.
	surgeNewShare = 0.7
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
	q.closes = float64(q.number%10) < 10*surgeNewShare
}

// surgeEntries has the balancer prefer one entry at random times until end.
func surgeEntries(ctx context.Context, end time.Time, s *site) {
	r := rand.New(rand.NewPCG(s.seed, 89))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(maxSurgeInterval))))
		if !time.Now().Before(end) {
			return
		}
		s.preferOne(ctx, r, surgeDuration/2)
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

// checkSurge checks, while nothing else is disturbed, what callers get while the balancer prefers one entry.
func (s *site) checkSurge(ctx context.Context, r *rand.Rand) {
	before := s.servedShare(ctx, surgeSpan)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.preferOne(ctx, r, (surgeContact+surgeSpan)/2)
	}()
	sleep(ctx, surgeContact)
	meanwhile := s.servedShare(ctx, surgeSpan)
	<-done
	s.record.note("while most new connections go to one entry: %.3f of the requests that were read are served, %.3f before", meanwhile, before)
	if meanwhile < surgeShare*before && ctx.Err() == nil {
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
