package waitqueue

import (
	"math"
	"time"
)

// Forecast is what a waiting request can expect.
type Forecast struct {
	// Unservable says that it can't be sent in time for its caller to get the answer.
	Unservable bool
	// ClearAfter is when those who wait now will have gone: who comes back then finds room.
	ClearAfter time.Duration
}

// forecast works out what the waiter can expect from the work that stands before
// it and the rate at which the line moves.
//
// One that can still be on time waits for those of better rank only. One that is
// late, or will be, goes after all as urgent ones that come on time meanwhile: it
// gets what they leave. Where that is nothing it would wait until its caller gives
// up, and is better told at once when to come back. Its own size doesn't count:
// the largest prompts would be refused first.
func forecast(all []*Waiter, w *Waiter, f *flow, now time.Time) Forecast {
	leave, known := f.leaving(now)
	if !known {
		return Forecast{Unservable: !now.Before(w.SendBy)}
	}
	before, total := 0, 0
	for _, o := range all {
		total += o.Tokens
		if o != w && o.Rank.before(w.Rank, now) && o.competes(w.Item) {
			before += o.Tokens
		}
	}
	out := Forecast{ClearAfter: spell(total, leave)}
	if start := now.Add(spell(before, leave)); !start.After(w.Rank.OnTime) {
		return out
	}
	start := now.Add(spell(before, leave-f.coming(now, w.Item)))
	out.Unservable = start.After(w.SendBy)
	return out
}

// mostSpell bounds forecasts; nobody waits that long.
const mostSpell = time.Minute

// spell returns how long so many tokens take at a rate per second.
func spell(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		return mostSpell
	}
	return time.Duration(math.Min(float64(tokens)/rate, mostSpell.Seconds()) * float64(time.Second))
}
