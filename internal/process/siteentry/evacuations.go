package siteentry

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/site/section"
)

// evacuations holds the last order for each availability zone that any replica has shown.
//
// Replicas show orders at different times, and one that has just started shows old ones. The
// number of an order tells which of two is the later.
type evacuations struct {
	complete atomic.Bool
	mu       sync.Mutex
	zones    map[string]section.Evacuation
	// endedAt is when this entry learned of the end of each zone's evacuation. One that it learns of first by
	// its end may have ended just before.
	endedAt map[string]time.Time
}

func newEvacuations() *evacuations {
	return &evacuations{zones: map[string]section.Evacuation{}, endedAt: map[string]time.Time{}}
}

// known returns whether the entry has received all rows of a replica that had caught up. Before
// that it can't rule out that a zone is evacuated.
func (e *evacuations) known() bool {
	return e.complete.Load()
}

func (e *evacuations) setKnown() {
	e.complete.Store(true)
}

// apply records the state of a zone. If the zone begins or ends to be evacuated, it calls
// changed with all evacuated zones, in the order of the changes.
func (e *evacuations) apply(zone string, state section.Evacuation, now time.Time, changed func(evacuated []string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.zones[zone]
	if state.Number <= before.Number {
		return
	}
	e.zones[zone] = state
	if !state.Active && (before.Active || before.Number == 0) {
		e.endedAt[zone] = now
	}
	if state.Active == before.Active {
		return
	}
	var evacuated []string
	for z, s := range e.zones {
		if s.Active {
			evacuated = append(evacuated, z)
		}
	}
	slices.Sort(evacuated)
	changed(evacuated)
}

// sinceEnd returns how long ago the evacuation of the zone ended, and false if there was none.
func (e *evacuations) sinceEnd(zone string, now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.endedAt[zone]
	return now.Sub(at), ok
}

// applyEvacuation applies the state of a zone that the replica at address shows.
func (s *site) applyEvacuation(address, zone string, state section.Evacuation) {
	s.evacuations.apply(zone, state, time.Now(), func(evacuated []string) {
		s.directory.Evacuate(evacuated)
		event.EvacuationInForce.Write(s.logger, log.Fields{"zone": zone, "active": state.Active, "number": state.Number, "replica": address})
	})
}
