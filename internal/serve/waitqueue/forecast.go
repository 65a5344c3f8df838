package waitqueue

import (
	"math"
	"time"
)

// Forecast is what a waiting request can expect.
type Forecast struct {
	// Unservable is set if the request cannot be sent in time for its caller to get the response.
	Unservable bool
	// ClearAfter is when the requests that wait now will have been sent, so that a retry finds
	// capacity.
	ClearAfter time.Duration
}

// forecast estimates what the waiter can expect from the requests ahead of it and the rate at
// which the queue drains.
//
// A request that can still meet its target waits only for those ranked before it. One that is
// past its target, or will be, also waits for all arriving requests of at least its urgency
// that can meet theirs, and gets only the remaining capacity. If there is none, it would wait
// until its caller times out, so it is refused at once with a time for the retry. Its own size
// does not count, or the largest prompts would be refused first.
func forecast(all []*Waiter, w *Waiter, r *rateEstimator, now time.Time) Forecast {
	rate, known := r.sendRate(now)
	if !known {
		return Forecast{Unservable: !now.Before(w.SendBy)}
	}
	rate *= w.Engines.share()
	before, total := 0.0, 0.0
	for _, o := range all {
		tokens := w.Engines.load(o.Engines) * float64(o.Tokens)
		total += tokens
		if o != w && o.Rank.before(w.Rank, now) && o.competes(w.Item) {
			before += tokens
		}
	}
	out := Forecast{ClearAfter: drainTime(total, rate)}
	if start := now.Add(drainTime(before, rate)); !start.After(w.Rank.TargetTime) {
		return out
	}
	start := now.Add(drainTime(before, rate-r.competingArrivalRate(now, w.Item)))
	out.Unservable = start.After(w.SendBy)
	return out
}

// maxForecast bounds forecasts; no request waits longer than that.
const maxForecast = time.Minute

// drainTime returns how long sending that many tokens takes at the given rate per second.
func drainTime(tokens, rate float64) time.Duration {
	if rate <= 0 {
		return maxForecast
	}
	return time.Duration(math.Min(tokens/rate, maxForecast.Seconds()) * float64(time.Second))
}
