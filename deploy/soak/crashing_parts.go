package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashingPartPrefix begins the ID of a part of prompts that crashes servers.
	crashingPartPrefix = "bad"
	// partPause is the longest time between two prompts with such a part.
	partPause = 300 * time.Millisecond
	// soundPause is the time between two sound prompts beside them.
	soundPause = 25 * time.Millisecond
	// soundShare is the least share of the sound prompts that begin at the first try, of those that do in calm times,
	// from twice crashContact after the fifth crash.
	soundShare = 0.5
)

// crashingPart returns the part of a prompt that crashes servers, empty if there is none.
func crashingPart(prefix string) string {
	for _, p := range strings.Split(prefix, ",") {
		if strings.HasPrefix(p, crashingPartPrefix) {
			id, _, _ := strings.Cut(p, ":")
			return id
		}
	}
	return ""
}

// sendCrashingParts sends prompts that share a part which crashes servers through all entries until end, one part after
// the other. It uses a separate random source, so that it does not change the faults of a seed.
func sendCrashingParts(ctx context.Context, end time.Time, s *site) {
	r := rand.New(rand.NewPCG(s.seed, 83))
	for time.Now().Before(end) && ctx.Err() == nil {
		n := s.crashing.next()
		part := fmt.Sprintf("%s%x%x", crashingPartPrefix, s.seed, n)
		s.record.note("prompts share %s", part)
		for i, until := 0, time.Now().Add(crashDuration); time.Now().Before(until) && time.Now().Before(end) && ctx.Err() == nil; i++ {
			parts := []string{fmt.Sprintf("%x:80", r.IntN(20)), part + ":40", fmt.Sprintf("e%x%x:40", n, i)}
			if r.IntN(2) == 0 {
				parts[0], parts[1] = parts[1], parts[0]
			}
			entry := r.IntN(len(s.fronts))
			attempt := fmt.Sprintf("part%d-%d-%d", n, entry, i)
			go s.sendCrashingRequest(ctx, entry, "prompt", attempt, attempt, strings.Join(parts, ","))
			sleep(ctx, time.Duration(r.Int64N(int64(partPause))))
		}
	}
}

// checkCrashes sends requests that crash servers while no process is disturbed: hardly any of them count while replicas
// get signals all the time. It checks that sound prompts are served beside them.
func (s *site) checkCrashes(ctx context.Context) {
	before := s.countPrompts(ctx, crashContact, "calm")
	var all sync.WaitGroup
	end := time.Now().Add(crashDuration)
	all.Go(func() { sendCrashing(ctx, end, s) })
	all.Go(func() { sendCrashingParts(ctx, end, s) })
	sleep(ctx, 2*crashContact)
	after := s.countPrompts(ctx, time.Until(end), "beside")
	all.Wait()
	s.record.note("prompts beside a crashing part: %.3f begun, %.3f before", after, before)
	if after < soundShare*before && ctx.Err() == nil {
		s.record.reportViolation("%.3f of the sound prompts beside a crashing part begin at the first try, %.3f in calm times", after, before)
	}
}

// countPrompts sends prompts through all entries and returns which share of them is served at the first try.
func (s *site) countPrompts(ctx context.Context, span time.Duration, name string) float64 {
	var sent, served atomic.Int64
	var all sync.WaitGroup
	x := make([]*client, len(s.fronts))
	for i := range x {
		x[i] = s.newClient(fmt.Sprintf("%d-%s-%d", s.seed, name, i), i, s.seed)
	}
	for began, n := time.Now(), 0; time.Since(began) < span && ctx.Err() == nil; n++ {
		c := x[n%len(x)]
		q := request{id: fmt.Sprintf("%s-%d", c.name, n), kind: "prompt", tenant: 1, number: n, part: n % 20}
		all.Go(func() {
			sent.Add(1)
			if c.send(ctx, q) {
				served.Add(1)
			}
		})
		sleep(ctx, soundPause)
	}
	all.Wait()
	return float64(served.Load()) / float64(max(1, sent.Load()))
}
