package site

import (
	"fmt"
	"testing"
	"time"
)

// Guards against cold engines that fall over: a whole zone returns cold at a peak, its idle
// engines look best to every entry, and all entries together exceed what each of them accepts.
func TestZoneReturnsColdAtAPeak(t *testing.T) {
	const engines, zones = 60, 4
	const coldRate, coldFactor, coldSlack = 24.0, 1.5, 5.0
	const most = coldRate*coldFactor + coldSlack
	const seeds, coldTime = 2, 6 * time.Second
	for _, x := range []struct {
		entries   int
		perSecond float64
		coldZones int
	}{{77, 2300, 1}, {77, 2300, 4}, {7, 2300, 4}, {20, 2300, 2}, {290, 2300, 1}, {2, 2300, 4}} {
		t.Run(fmt.Sprintf("%d entries, %.0f per second, %d zones cold", x.entries, x.perSecond, x.coldZones), func(t *testing.T) {
			worst, sent := 0, 0
			for seed := range uint64(seeds) {
				w := newWorld(engines, x.entries, zones, seed)
				isCold := func(e int) bool { return e%zones < x.coldZones }
				for e, s := range w.engines {
					for _, l := range w.entries {
						l.SetCold(s.ID, isCold(e), most, w.now)
					}
				}
				w.run(x.perSecond, coldTime)
				for e := range w.engines {
					if isCold(e) {
						worst = max(worst, w.mostInASecond(e))
						sent += len(w.arrivals[e])
					}
				}
			}
			t.Logf("at most %d in a second, mean %.1f", worst, float64(sent)/seeds/coldTime.Seconds()/float64(engines*x.coldZones/zones))
			if float64(worst) > most {
				t.Errorf("a cold engine got %d requests in a second, more than %.0f", worst, most)
			}
		})
	}
}
