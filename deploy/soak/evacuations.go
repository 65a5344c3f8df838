package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// zones are the availability zones of the servers.
var zones = []string{"z1", "z2"}

const (
	// evacuationBound is how long after the acknowledgment of an evacuation its zone may still get requests.
	evacuationBound = 5 * time.Second
	// releaseTime is how long after the end of a cut what it held back arrives.
	releaseTime = time.Second
	// maxEvacuationInterval is the longest time between two evacuations. Each lasts between
	// minEvacuation and maxEvacuation, some of them until after the bound.
	maxEvacuationInterval = 16 * time.Second
	minEvacuation         = time.Second
	maxEvacuation         = 10 * time.Second
)

// evacuations holds when the evacuation of each zone was acknowledged.
type evacuations struct {
	record *record
	limits *limits

	mu           sync.Mutex
	acknowledged map[string]time.Time
}

func newEvacuations(r *record, l *limits) *evacuations {
	return &evacuations{record: r, limits: l, acknowledged: map[string]time.Time{}}
}

// recordRequest checks that the zone of a server that gets a request from the address is not evacuated. A request that
// was held back because its entry was cut off doesn't count: the entry may have sent it before.
func (e *evacuations) recordRequest(attempt string, s *server, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.acknowledged[s.zone]
	if !ok || time.Since(at) <= evacuationBound {
		return
	}
	sender, releasedAt := s.proxy.sender(source)
	if time.Since(releasedAt) <= releaseTime {
		return
	}
	e.record.reportViolation("%s reached %s in %s, %s after the acknowledgment of its evacuation, %s", attempt, s.id, s.zone, time.Since(at), e.describe(attempt, sender))
}

// describe returns which entry took the attempt, how long ago that entry was last disturbed, and the address that it was sent from.
func (e *evacuations) describe(attempt, sender string) string {
	taker := e.limits.entry(attempt)
	if taker == nil {
		return "sent from " + sender
	}
	return fmt.Sprintf("taken by %s (last signal %s ago), sent from %s", taker.name, time.Since(taker.lastChange()), sender)
}

func (e *evacuations) set(zone string, active bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !active {
		delete(e.acknowledged, zone)
		return
	}
	e.acknowledged[zone] = time.Now()
}

// orderEvacuation sends an order for a zone until a replica acknowledges it, or changeBound has passed.
func (o *operator) orderEvacuation(ctx context.Context, r *rand.Rand, order, zone string) bool {
	ctx, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	for ctx.Err() == nil {
		control := o.controls[r.IntN(len(o.controls))]
		if post(ctx, "http://"+control+":8000/v1/Evacuations."+order+"/"+zone, "", 1500*time.Millisecond) == http.StatusOK {
			return true
		}
		sleep(ctx, 100*time.Millisecond)
	}
	o.reportUnacknowledged(ctx, order+" of the evacuation of "+zone)
	return false
}

// evacuateZones evacuates zones at random times until end, each in its own series, so that
// evacuations overlap. It uses separate random sources, so that it does not change the faults
// of a seed.
func evacuateZones(ctx context.Context, end time.Time, s *site) {
	var all sync.WaitGroup
	defer all.Wait()
	for i, zone := range zones {
		r := rand.New(rand.NewPCG(s.seed, 19+uint64(i)))
		all.Go(func() {
			for ctx.Err() == nil {
				sleep(ctx, time.Duration(r.Int64N(int64(maxEvacuationInterval))))
				if !time.Now().Before(end) {
					return
				}
				s.evacuate(ctx, r, zone)
			}
		})
	}
}

// evacuate evacuates a zone for some time.
func (s *site) evacuate(ctx context.Context, r *rand.Rand, zone string) {
	s.record.note("evacuate %s", zone)
	if s.operator.orderEvacuation(ctx, r, "Start", zone) {
		s.evacuations.set(zone, true)
	}
	sleep(ctx, minEvacuation+time.Duration(r.Int64N(int64(maxEvacuation-minEvacuation))))
	s.evacuations.set(zone, false)
	s.record.note("end the evacuation of %s", zone)
	s.operator.orderEvacuation(ctx, r, "End", zone)
}
