package waitqueue

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// target is when a first event is due, patience how long a caller waits for it, run how long a request keeps its room.
	target   = time.Second
	patience = 4 * time.Second
	run      = 1500 * time.Millisecond
	// engineRoom is an engine's memory, usual and large are sizes of requests.
	engineRoom = 90_000
	usual      = 12_000
	large      = 40_000
	small      = 2_400
)

// engines are memory that requests take for a while.
type engines struct {
	mu   sync.Mutex
	free []int
}

// take returns an engine with so much room, -1 for none.
func (e *engines) take(tokens int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.free {
		if e.free[i] >= tokens {
			e.free[i] -= tokens
			return i
		}
	}
	return -1
}

func (e *engines) give(i, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.free[i] += tokens
}

// outcome is what became of a request.
type outcome struct {
	tokens int
	sent   bool
	// held is how long it waited for that, clear what a refused one was told.
	held, clear time.Duration
}

// load is a pattern: how many tokens a second come at a moment, and of which sizes.
type load struct {
	engines int
	lasts   time.Duration
	rate    func(since time.Duration) float64
	size    func(r *rand.Rand) int
}

// capacity is how many tokens a second the engines can take.
func (x load) capacity() float64 {
	return float64(x.engines) * engineRoom / run.Seconds()
}

// play sends the load through a line in virtual time.
func play(t *testing.T, x load) []outcome {
	t.Helper()
	var all []outcome
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(7, 7))
		l, began := New(), time.Now()
		pool := &engines{free: slices.Repeat([]int{engineRoom}, x.engines)}
		var mu sync.Mutex
		var ended sync.WaitGroup
		for time.Since(began) < x.lasts {
			tokens := x.size(r)
			ended.Go(func() {
				o := pass(t, l, pool, tokens)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, o)
			})
			time.Sleep(time.Duration(float64(tokens) / x.rate(time.Since(began)) * float64(time.Second)))
		}
		ended.Wait()
	})
	return all
}

// pass takes one request through the line as an entry does.
func pass(t *testing.T, l Queue, pool *engines, tokens int) outcome {
	arrived := time.Now()
	a := Item{Rank: Rank{OnTime: arrived.Add(target)}, Tokens: tokens, SendBy: arrived.Add(patience)}
	o := outcome{tokens: tokens}
	at := pool.take(tokens)
	if at >= 0 {
		l.RecordImmediate(a)
	} else {
		w := l.Enter(a)
		for at < 0 {
			f := l.Forecast(w)
			if f.Unservable {
				o.clear = f.ClearAfter
				break
			}
			if l.Wait(t.Context(), w, RecheckInterval) == LocalCapacity {
				at = pool.take(tokens)
			}
		}
		l.Leave(w, at >= 0)
	}
	o.held, o.sent = time.Since(arrived), at >= 0
	if o.sent {
		time.Sleep(run)
		pool.give(at, tokens)
		l.LocalCapacityFreed()
	}
	return o
}

func mixed(r *rand.Rand) int {
	switch n := r.IntN(10); {
	case n == 0:
		return large
	case n < 5:
		return small
	}
	return usual
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// sentTokens returns the tokens of the requests that were sent.
func sentTokens(all []outcome) (n int) {
	for _, o := range all {
		if o.sent {
			n += o.tokens
		}
	}
	return n
}

// More comes than the engines can take, for as long as it lasts. A request that is
// held until its caller leaves has cost its caller the time and got it nothing;
// it must be refused while the caller can still do something else. And the engines
// must not stand idle for it.
func TestOverloadHoldsNobodyToTheEnd(t *testing.T) {
	for _, times := range []float64{1.5, 2.6, 5} {
		x := load{engines: 4, lasts: 30 * time.Second, size: mixed}
		x.rate = steady(times * x.capacity())
		all := play(t, x)
		refused, late := 0, 0
		for _, o := range all {
			if !o.sent {
				refused++
			}
			if o.held > patience*3/4 {
				late++
			}
			if !o.sent && o.clear <= 0 {
				t.Errorf("%.1f times: a refusal doesn't say when to come back", times)
			}
		}
		used := float64(sentTokens(all)) / (x.capacity() * x.lasts.Seconds())
		t.Logf("%.1f times: %d requests, %d refused, %d held for most of their time, %.2f of the room used", times, len(all), refused, late, used)
		if late > len(all)/50 {
			t.Errorf("%.1f times: %d of %d requests were held for three quarters of their time", times, late, len(all))
		}
		if used < 0.75 {
			t.Errorf("%.1f times: %.2f of the room was used", times, used)
		}
	}
}

// Many users come at once for three seconds, then no more than usual. Those who
// came are served a little later; refused, they would come back to the same engines.
func TestBurstIsServed(t *testing.T) {
	x := load{engines: 4, lasts: 15 * time.Second, size: mixed}
	x.rate = func(since time.Duration) float64 {
		if since > 5*time.Second && since < 8*time.Second {
			return 1.3 * x.capacity()
		}
		return 0.5 * x.capacity()
	}
	sent, n := 0, 0
	for _, o := range play(t, x) {
		n++
		if o.sent {
			sent++
		}
	}
	if sent < n*9/10 {
		t.Errorf("%d of %d were served", sent, n)
	}
}

// All processes were lost, and everybody who waited meanwhile comes at the same
// moment. Nothing is known yet of how fast the line moves; who can be served within
// the patience of the callers must not be refused.
func TestHerdAfterALossIsServed(t *testing.T) {
	x := load{engines: 4, lasts: time.Millisecond, size: func(*rand.Rand) int { return usual }}
	x.rate = steady(60 * usual * 1000)
	all := play(t, x)
	sent := 0
	for _, o := range all {
		if o.sent {
			sent++
		}
	}
	if room := x.engines * (engineRoom / usual); sent < min(len(all), 2*room) {
		t.Errorf("%d of %d were served, in %d places", sent, len(all), room)
	}
}

// Only large prompts come, more than fit. They are as good as any: the engines
// must be used, and nobody held to the end.
func TestOnlyLargePrompts(t *testing.T) {
	x := load{engines: 4, lasts: 30 * time.Second, size: func(*rand.Rand) int { return large }}
	x.rate = steady(2 * x.capacity())
	all := play(t, x)
	late := 0
	for _, o := range all {
		if o.held > patience*3/4 {
			late++
		}
	}
	// Two large prompts fit into an engine.
	most := 2.0 * large / engineRoom * x.capacity() * x.lasts.Seconds()
	if used := float64(sentTokens(all)) / most; used < 0.75 || late > len(all)/50 {
		t.Errorf("%.2f of the room was used, %d of %d were held for most of their time", used, late, len(all))
	}
}

// Long prompts come that are more than the engines can take, and short ones among
// them. A short one finds room that is too little for a long one; it must not be
// refused for the long ones that come.
func TestShortOnesFindRoomBesideLongOnes(t *testing.T) {
	x := load{engines: 4, lasts: 30 * time.Second, size: func(r *rand.Rand) int {
		if r.IntN(2) == 0 {
			return small
		}
		return usual
	}}
	x.rate = steady(2 * x.capacity())
	sent, n := 0, 0
	for _, o := range play(t, x) {
		if o.tokens != small {
			continue
		}
		n++
		if o.sent {
			sent++
		}
	}
	if sent < n*8/10 {
		t.Errorf("%d of %d short ones were served", sent, n)
	}
}
