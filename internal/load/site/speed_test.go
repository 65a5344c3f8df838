package site

import (
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/serve/choose"
	"hornbeamwood/internal/serve/observe"
)

// Guards against long first readings that are late at the slower third of the engines while
// the others would finish them in time.
func TestLongPromptsAvoidSlowEngines(t *testing.T) {
	const engines, prompts = 60, 3000
	const fast, slow = 31 * time.Millisecond, 41 * time.Millisecond
	w := newWorld(engines, 77, 4, 1)
	all := make([]choose.Candidate, engines)
	for i, s := range w.engines {
		gap := fast
		if i%3 == 2 {
			gap = slow
		}
		all[i] = choose.Candidate{Server: s, Stats: observe.ServerStats{EventGap: gap, InFlight: w.random.IntN(4)}}
	}
	share := func(tokens int) float64 {
		n := 0
		for i := range prompts {
			p := choose.EnginePicker{
				Now: w.now, Zone: zone(i % 4), Capacity: 80_000, Entries: len(w.entries), Random: w.random,
				Parts: []choose.Part{{Salt: "m/1", ID: fmt.Sprint("shared", i), Tokens: tokens, Shared: true}, {Salt: "m/1", ID: "own", Tokens: 100}},
			}.Pick(all)
			if p.Index%3 == 2 {
				n++
			}
		}
		return float64(n) / prompts
	}
	// Six random engines are seldom all slow. Short prompts use at least half of what is the slow third's share by number.
	const seldom, half = 0.05, 0.5 / 3
	if long, short := share(30_000), share(300); long > seldom || short < half {
		t.Errorf("%.2f of the long prompts and %.2f of the short ones went to the slow third", long, short)
	}
}
