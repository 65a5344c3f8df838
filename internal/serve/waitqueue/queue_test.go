package waitqueue

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against requests past their target delaying those that can still meet it when more
// requests wait than can be served in time.
func TestRequestsPastTargetRankLast(t *testing.T) {
	now := time.Now()
	past := Rank{TargetTime: now.Add(-time.Second)}
	inTime := Rank{TargetTime: now.Add(time.Second)}
	if past.before(inTime, now) || !inTime.before(past, now) {
		t.Error("the request past its target goes first")
	}
	urgent := inTime
	urgent.Urgency, inTime.Urgency = 0, 1
	urgent.TargetTime = inTime.TargetTime.Add(time.Millisecond)
	if !urgent.before(inTime, now) {
		t.Error("the urgent request goes second")
	}
}

func TestFreedCapacityWakesFirstWaiters(t *testing.T) {
	q, began := New(), time.Now()
	var all []*Waiter
	for i := range maxWoken + 1 {
		all = append(all, q.Enter(Item{Rank: Rank{TargetTime: began.Add(time.Hour + time.Duration(i))}}))
	}
	q.LocalCapacityFreed()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if q.Wait(ctx, all[0], time.Minute) != LocalCapacity || q.Wait(ctx, all[maxWoken], time.Minute) != ContextDone {
		t.Error("the wrong waiters were woken")
	}
	q.Leave(all[0], false)
	if q.Len() != maxWoken {
		t.Error("a waiter that left is still in the queue")
	}
}

// Entries have waiting prompts and engines free capacity, which all entries see at the same
// moment. If each sent one to the same engine, most would wait there behind the first. About
// as many must be admitted as there is capacity for: one if one engine is free, all if all of
// them fit.
func TestAdmitsAsManyAsFit(t *testing.T) {
	const rounds, size = 2000, 12_000
	r := rand.New(rand.NewPCG(3, 3))
	for _, x := range []struct{ free, waiting int }{{1, 7}, {1, 73}, {20, 73}, {90, 73}, {1, 1}} {
		admitted := 0
		for range rounds * x.waiting {
			if Admit(x.free*size, x.waiting*size, time.Second, time.Second, r.Float64()) {
				admitted++
			}
		}
		want := float64(min(x.free, x.waiting))
		if mean := float64(admitted) / rounds; mean < 0.9*want || mean > 1.1*want {
			t.Errorf("capacity for %d, %d waiters: %.2f admitted", x.free, x.waiting, mean)
		}
	}
}

// On a large site load reports take a third of a second to propagate, and waiters try eight
// times in it. One engine has capacity for one prompt. If each attempt counted by itself,
// eight prompts would be sent there; the engine would preempt running requests, whose streams
// stall while their tokens are prefilled again.
func TestCapacityIsTakenOnceDuringPropagation(t *testing.T) {
	const rounds, attempts, waiting, size = 400, 8, 200, 12_000
	const interval = 40 * time.Millisecond
	r := rand.New(rand.NewPCG(5, 5))
	admitted := 0
	for range rounds * attempts * waiting {
		if Admit(size, waiting*size, interval, attempts*interval, r.Float64()) {
			admitted++
		}
	}
	if mean := float64(admitted) / rounds; mean < 0.8 || mean > 1.2 {
		t.Errorf("%.2f prompts admitted where one fits", mean)
	}
}

// A waiter must know whether other entries see the same capacity.
func TestWakeReason(t *testing.T) {
	q := New()
	w := q.Enter(Item{})
	q.SharedCapacityFreed()
	if reason := q.Wait(t.Context(), w, time.Minute); reason != SharedCapacity {
		t.Errorf("woken by %d", reason)
	}
	q.LocalCapacityFreed()
	if reason := q.Wait(t.Context(), w, time.Minute); reason != LocalCapacity {
		t.Errorf("woken by %d", reason)
	}
	if reason := q.Wait(t.Context(), w, time.Millisecond); reason != Recheck {
		t.Errorf("woken by %d", reason)
	}
}
