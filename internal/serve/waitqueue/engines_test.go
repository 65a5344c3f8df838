package waitqueue

import (
	"testing"
	"time"
)

// Guards against a forecast for a request that may go to few engines only, by the capacity of all of them.
func TestForecastCountsTheEnginesOfTheRequest(t *testing.T) {
	now := time.Now()
	r := rateEstimator{started: now.Add(-time.Hour)}
	r.advance(now.Add(-rateWindow), true)
	r.advance(now, true)
	for _, b := range []time.Duration{0, rateWindow / 2} {
		r.bucket(now.Add(-b)).sentTokens = 1000
	}
	rate, known := r.sendRate(now)
	if !known {
		t.Fatal("the rate is unknown")
	}
	old, other := Engines{Group: "v1", Share: 0.25}, Engines{Group: "v2", Share: 0.75}
	ahead := func(e Engines, tokens int) *Waiter {
		return &Waiter{Item: Item{Rank: Rank{TargetTime: now}, Tokens: tokens, Engines: e}}
	}
	w := &Waiter{Item: Item{Rank: Rank{TargetTime: now.Add(time.Hour)}, Tokens: 500, Engines: old, SendBy: now.Add(time.Hour)}}
	for name, c := range map[string]struct {
		engines Engines
		want    float64
	}{
		"any engine":       {Engines{}, 500 / rate},
		"the same engines": {old, 500 / (rate * old.Share)},
		"other engines":    {other, 0},
	} {
		o := ahead(c.engines, 500)
		got := forecast([]*Waiter{o}, w, &r, now).ClearAfter.Seconds()
		if got < 0.99*c.want || got > 1.01*c.want {
			t.Errorf("%s: clear after %.2f s, want %.2f", name, got, c.want)
		}
	}
}
