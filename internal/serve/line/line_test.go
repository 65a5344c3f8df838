package line

import (
	"context"
	"testing"
	"time"
)

// Many users come at once and more requests wait than can be served on time.
// Those that are late already must not make the next ones late as well.
func TestLateOnesStandBehind(t *testing.T) {
	now := time.Now()
	late := Rank{OnTime: now.Add(-time.Second), Arrived: now.Add(-3 * time.Second)}
	timely := Rank{OnTime: now.Add(time.Second), Arrived: now}
	if late.before(timely, now) || !timely.before(late, now) {
		t.Error("the late one goes first")
	}
	urgent := timely
	urgent.Urgency, timely.Urgency = 0, 1
	urgent.Arrived = now.Add(time.Millisecond)
	if !urgent.before(timely, now) {
		t.Error("the urgent one waits")
	}
}

func TestChangeWakesThoseInFront(t *testing.T) {
	l := New()
	var all []*Waiter
	for i := range mostWoken + 1 {
		all = append(all, l.Enter(Rank{OnTime: time.Now().Add(time.Hour), Arrived: time.Unix(int64(i), 0)}))
	}
	l.Changed()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if !l.Wait(ctx, all[0]) || l.Wait(ctx, all[mostWoken]) {
		t.Error("not those in front were woken")
	}
	l.Leave(all[0])
	if l.Len() != mostWoken {
		t.Error("who left still waits")
	}
}
