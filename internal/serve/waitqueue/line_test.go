package waitqueue

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

// Many users come at once and more requests wait than can be served on time.
// Those that are late already must not make the next ones late as well.
func TestLateOnesStandBehind(t *testing.T) {
	now := time.Now()
	late := Rank{OnTime: now.Add(-time.Second)}
	timely := Rank{OnTime: now.Add(time.Second)}
	if late.before(timely, now) || !timely.before(late, now) {
		t.Error("the late one goes first")
	}
	urgent := timely
	urgent.Urgency, timely.Urgency = 0, 1
	urgent.OnTime = timely.OnTime.Add(time.Millisecond)
	if !urgent.before(timely, now) {
		t.Error("the urgent one waits")
	}
}

func TestChangeWakesThoseInFront(t *testing.T) {
	l, began := New(), time.Now()
	var all []*Waiter
	for i := range mostWoken + 1 {
		all = append(all, l.Enter(Item{Rank: Rank{OnTime: began.Add(time.Hour + time.Duration(i))}}))
	}
	l.LocalCapacityFreed()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if l.Wait(ctx, all[0], time.Minute) != LocalCapacity || l.Wait(ctx, all[mostWoken], time.Minute) != ContextDone {
		t.Error("not those in front were woken")
	}
	l.Leave(all[0], false)
	if l.Len() != mostWoken {
		t.Error("who left still waits")
	}
}

// Entries have prompts in line, and engines get room. They all hear of it at the
// same moment; if each sent one to the same engine, most would wait there behind
// the first. About as many must go at once as there is room for: one where one
// engine has room, all where there is room for all.
func TestAsManyGoAsThereIsRoomFor(t *testing.T) {
	const rounds, size = 2000, 12_000
	r := rand.New(rand.NewPCG(3, 3))
	for _, x := range []struct{ rooms, waiting int }{{1, 7}, {1, 73}, {20, 73}, {90, 73}, {1, 1}} {
		went := 0
		for range rounds * x.waiting {
			if Admit(x.rooms*size, x.waiting*size, time.Second, time.Second, r.Float64()) {
				went++
			}
		}
		want := float64(min(x.rooms, x.waiting))
		if mean := float64(went) / rounds; mean < 0.9*want || mean > 1.1*want {
			t.Errorf("%d rooms, %d waiters: %.2f go", x.rooms, x.waiting, mean)
		}
	}
}

// On a large site news of what was taken needs a third of a second, and waiters look
// eight times in it. One engine has room for one. If each look counted for itself,
// eight prompts would be sent there; the engine takes memory from requests that run,
// and their streams stand still while it reads them again.
func TestRoomIsTakenOnceWhileNewsOfItTravels(t *testing.T) {
	const rounds, looks, waiting, size = 400, 8, 200, 12_000
	const pause = 40 * time.Millisecond
	r := rand.New(rand.NewPCG(5, 5))
	went := 0
	for range rounds * looks * waiting {
		if Admit(size, waiting*size, pause, looks*pause, r.Float64()) {
			went++
		}
	}
	if mean := float64(went) / rounds; mean < 0.8 || mean > 1.2 {
		t.Errorf("%.2f prompts go where there is room for one", mean)
	}
}

// A waiter must know whether others hear of the same room.
func TestWhoWakesIsTold(t *testing.T) {
	l := New()
	w := l.Enter(Item{})
	l.SharedCapacityFreed()
	if why := l.Wait(t.Context(), w, time.Minute); why != SharedCapacity {
		t.Errorf("woken by %d", why)
	}
	l.LocalCapacityFreed()
	if why := l.Wait(t.Context(), w, time.Minute); why != LocalCapacity {
		t.Errorf("woken by %d", why)
	}
	if why := l.Wait(t.Context(), w, time.Millisecond); why != Recheck {
		t.Errorf("woken by %d", why)
	}
}
