package overload

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against an entry that turns callers away because it was frozen, collects garbage, or gets its processor time
// in slices.
func TestSinglePausesAreNoOverload(t *testing.T) {
	const slice = 100 * time.Millisecond
	d, now := New(), start
	for i := range 100 {
		late := time.Duration(0)
		switch {
		case i == 50:
			late = 5 * time.Second
		case i%4 == 0:
			// The processor time of each slice is used up when nine tenths of it remain.
			late = slice * 9 / 10
		}
		now = now.Add(Interval + late)
		d.Observe(late, now)
		if d.Overloaded() {
			t.Fatalf("overloaded after wake-up %d", i)
		}
	}
}

// Guards against an entry that takes what it reads late for what was sent late.
func TestLagIsThatOfTheLastSeconds(t *testing.T) {
	d, now := New(), start
	observe := func(late time.Duration) {
		now = now.Add(Interval + late)
		d.Observe(late, now)
	}
	observe(0)
	if lag := d.Lag(now.Add(Interval)); lag != 0 {
		t.Errorf("punctual: %s", lag)
	}
	if lag := d.Lag(now.Add(time.Second)); lag != time.Second-Interval {
		t.Errorf("overdue: %s", lag)
	}
	observe(300 * time.Millisecond)
	late := now
	for now.Before(late.Add(lagWindow)) {
		if lag := d.Lag(now); lag != 300*time.Millisecond {
			t.Fatalf("after %s: %s", now.Sub(late), lag)
		}
		observe(0)
	}
	for now.Before(late.Add(3 * lagWindow)) {
		observe(0)
	}
	if lag := d.Lag(now); lag != 0 {
		t.Errorf("long after: %s", lag)
	}
}

// entry simulates the processor of an entry that serves connections in the order of their arrival, for callers who
// wait for a bounded time.
type entry struct {
	// acceptCost is the processor time to accept a connection and close it, serveCost that of a request.
	acceptCost, serveCost time.Duration
	patience              time.Duration
}

// play simulates a span with so many new connections a second and returns how many requests were read, and how many
// of them were answered in time.
func (e entry) play(rate float64, span time.Duration, refuse func(d Detector) bool) (read, served int) {
	type request struct{ arrived time.Time }
	var queue []request
	d, now, nextArrival, nextWake := New(), start, start, start
	for now.Before(start.Add(span)) {
		for !nextArrival.After(now) {
			queue = append(queue, request{nextArrival})
			nextArrival = nextArrival.Add(time.Duration(float64(time.Second) / rate))
		}
		if len(queue) == 0 {
			now = nextArrival
			continue
		}
		q := queue[0]
		queue = queue[1:]
		// A wake-up stands in the same queue as the requests that came before it.
		for !nextWake.After(q.arrived) {
			d.Observe(now.Sub(nextWake), now)
			nextWake = nextWake.Add(Interval)
		}
		if refuse(d) {
			now = now.Add(e.acceptCost)
			continue
		}
		read++
		now = now.Add(e.acceptCost + e.serveCost)
		if now.Sub(q.arrived) <= e.patience {
			served++
		}
	}
	return read, served
}

// Guards against an entry that reads more than it can serve while a balancer hands it nearly all new connections: all
// of them wait, and hardly any caller is answered in time.
func TestEntryServesWhatItReadsBesideASurge(t *testing.T) {
	e := entry{acceptCost: 50 * time.Microsecond, serveCost: 2 * time.Millisecond, patience: 500 * time.Millisecond}
	const calm, span = 100.0, 10 * time.Second
	for _, surge := range []float64{2, 6, 15, 60} {
		read, served := e.play(surge*calm, span, func(d Detector) bool { return d.Overloaded() })
		all, none := e.play(surge*calm, span, func(Detector) bool { return false })
		t.Logf("%.0f times as many: %d of %d served, without the detector %d of %d", surge, served, read, none, all)
		if 4*served < 3*read {
			t.Errorf("%.0f times as many connections: %d of %d requests that were read were served", surge, served, read)
		}
		if capacity := span.Seconds() / e.serveCost.Seconds(); float64(read) < min(0.7*capacity, 0.95*surge*calm*span.Seconds()) && surge <= 15 {
			t.Errorf("%.0f times as many connections: only %d requests were read", surge, read)
		}
	}
}
