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
	// target is when a first event is due, callerTimeout how long a caller waits for it, run how long a
	// request holds its capacity.
	target        = time.Second
	callerTimeout = 4 * time.Second
	run           = 1500 * time.Millisecond
	// engineCapacity is an engine's memory in tokens; usual, large and small are sizes of
	// requests.
	engineCapacity = 90_000
	usual          = 12_000
	large          = 40_000
	small          = 2_400
)

// engines model memory that requests hold for a while.
type engines struct {
	mu   sync.Mutex
	free []int
}

// take reserves tokens at an engine and returns its index, or -1 if none has enough.
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

func (e *engines) release(i, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.free[i] += tokens
}

// outcome is how a request ended.
type outcome struct {
	tokens int
	sent   bool
	// waited is how long it waited, retryAfter the retry time given to a refused request.
	waited, retryAfter time.Duration
}

// load is an arrival pattern: the tokens per second at a time since the start, and the sizes.
type load struct {
	engines int
	lasts   time.Duration
	rate    func(since time.Duration) float64
	size    func(r *rand.Rand) int
}

// capacity is how many tokens per second the engines can serve.
func (x load) capacity() float64 {
	return float64(x.engines) * engineCapacity / run.Seconds()
}

// simulate runs the load against a queue in virtual time.
func simulate(t *testing.T, x load) []outcome {
	t.Helper()
	var all []outcome
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(7, 7))
		q, began := New(), time.Now()
		pool := &engines{free: slices.Repeat([]int{engineCapacity}, x.engines)}
		var mu sync.Mutex
		var ended sync.WaitGroup
		for time.Since(began) < x.lasts {
			tokens := x.size(r)
			ended.Go(func() {
				o := serve(t, q, pool, tokens)
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

// serve takes one request through the queue as an entry does.
func serve(t *testing.T, q Queue, pool *engines, tokens int) outcome {
	arrived := time.Now()
	a := Item{Rank: Rank{TargetTime: arrived.Add(target)}, Tokens: tokens, SendBy: arrived.Add(callerTimeout)}
	o := outcome{tokens: tokens}
	at := pool.take(tokens)
	if at >= 0 {
		q.RecordImmediate(a)
	} else {
		w := q.Enter(a)
		for at < 0 {
			f := q.Forecast(w)
			if f.Unservable {
				o.retryAfter = f.ClearAfter
				break
			}
			if q.Wait(t.Context(), w, RecheckInterval) == LocalCapacity {
				at = pool.take(tokens)
			}
		}
		q.Leave(w, at >= 0)
	}
	o.waited, o.sent = time.Since(arrived), at >= 0
	if o.sent {
		time.Sleep(run)
		pool.release(at, tokens)
		q.LocalCapacityFreed()
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

// The load exceeds the capacity for the whole run. A request that is held until its caller
// times out has cost the caller that time for nothing, so it must be refused while the caller
// can still do something else. The engines must stay busy meanwhile.
func TestOverloadRefusesEarly(t *testing.T) {
	for _, times := range []float64{1.5, 2.6, 5} {
		x := load{engines: 4, lasts: 30 * time.Second, size: mixed}
		x.rate = steady(times * x.capacity())
		all := simulate(t, x)
		refused, waitedLong := 0, 0
		for _, o := range all {
			if !o.sent {
				refused++
			}
			if o.waited > callerTimeout*3/4 {
				waitedLong++
			}
			if !o.sent && o.retryAfter <= 0 {
				t.Errorf("%.1f times: a refusal has no retry time", times)
			}
		}
		used := float64(sentTokens(all)) / (x.capacity() * x.lasts.Seconds())
		t.Logf("%.1f times: %d requests, %d refused, %d waited for most of their timeout, %.2f of the capacity used", times, len(all), refused, waitedLong, used)
		if waitedLong > len(all)/50 {
			t.Errorf("%.1f times: %d of %d requests waited for three quarters of their timeout", times, waitedLong, len(all))
		}
		if used < 0.75 {
			t.Errorf("%.1f times: %.2f of the capacity was used", times, used)
		}
	}
}

// A burst of three seconds above the capacity, then the usual load. Its requests must be
// served a little later; if refused, they would retry at the same engines.
func TestBurstIsServed(t *testing.T) {
	x := load{engines: 4, lasts: 15 * time.Second, size: mixed}
	x.rate = func(since time.Duration) float64 {
		if since > 5*time.Second && since < 8*time.Second {
			return 1.3 * x.capacity()
		}
		return 0.5 * x.capacity()
	}
	sent, n := 0, 0
	for _, o := range simulate(t, x) {
		n++
		if o.sent {
			sent++
		}
	}
	if sent < n*9/10 {
		t.Errorf("%d of %d were served", sent, n)
	}
}

// After all processes were lost, all waiting callers send at the same moment, before the drain
// rate is known. Requests that can be served within their callers' timeouts must not be
// refused.
func TestSimultaneousRetriesAfterLossAreServed(t *testing.T) {
	x := load{engines: 4, lasts: time.Millisecond, size: func(*rand.Rand) int { return usual }}
	x.rate = steady(60 * usual * 1000)
	all := simulate(t, x)
	sent := 0
	for _, o := range all {
		if o.sent {
			sent++
		}
	}
	if slots := x.engines * (engineCapacity / usual); sent < min(len(all), 2*slots) {
		t.Errorf("%d of %d were served, with capacity for %d at once", sent, len(all), slots)
	}
}

// Only large prompts arrive, more than fit. The engines must stay busy, and no request may be
// held until its caller times out.
func TestOnlyLargePrompts(t *testing.T) {
	x := load{engines: 4, lasts: 30 * time.Second, size: func(*rand.Rand) int { return large }}
	x.rate = steady(2 * x.capacity())
	all := simulate(t, x)
	waitedLong := 0
	for _, o := range all {
		if o.waited > callerTimeout*3/4 {
			waitedLong++
		}
	}
	// Two large prompts fit into an engine.
	most := 2.0 * large / engineCapacity * x.capacity() * x.lasts.Seconds()
	if used := float64(sentTokens(all)) / most; used < 0.75 || waitedLong > len(all)/50 {
		t.Errorf("%.2f of the capacity was used, %d of %d waited for most of their timeout", used, waitedLong, len(all))
	}
}

// Long prompts arrive faster than the engines can serve them, with short ones among them. A
// short prompt fits into capacity that is too little for a long one and must not be refused
// because of the long ones.
func TestShortPromptsFitBesideLongOnes(t *testing.T) {
	x := load{engines: 4, lasts: 30 * time.Second, size: func(r *rand.Rand) int {
		if r.IntN(2) == 0 {
			return small
		}
		return usual
	}}
	x.rate = steady(2 * x.capacity())
	sent, n := 0, 0
	for _, o := range simulate(t, x) {
		if o.tokens != small {
			continue
		}
		n++
		if o.sent {
			sent++
		}
	}
	if sent < n*8/10 {
		t.Errorf("%d of %d short prompts were served", sent, n)
	}
}
