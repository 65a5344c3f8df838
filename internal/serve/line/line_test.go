package line

import (
	"context"
	"testing"
	"testing/synctest"
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
		all = append(all, l.Enter(Ask{Rank: Rank{OnTime: began.Add(time.Hour + time.Duration(i))}}))
	}
	l.Changed()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if l.Wait(ctx, all[0]) != Room || l.Wait(ctx, all[mostWoken]) == Room {
		t.Error("not those in front were woken")
	}
	l.Leave(all[0], false)
	if l.Len() != mostWoken {
		t.Error("who left still waits")
	}
}

// Seven entries have prompts in line and an engine gets room for one. They all
// hear of it at the same moment; if each sent one there, six would wait behind the
// first while other engines get room. Over many such moments about one entry goes
// at once, and none is left out.
func TestEntriesTakeTurnsAtRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, rounds = 7, 300
		lines := make([]Line, entries)
		waiters := make([]*Waiter, entries)
		for i := range lines {
			lines[i] = New()
			waiters[i] = lines[i].Enter(Ask{Rank: Rank{OnTime: time.Now().Add(time.Hour)}})
		}
		went, each := 0, make([]int, entries)
		for range rounds {
			for i, l := range lines {
				l.ChangedElsewhere(entries - 1)
				select {
				case <-waiters[i].wake:
					went++
					each[i]++
				default:
				}
			}
			// The turns that were put off come to nothing: the room is taken.
			time.Sleep(time.Second)
			for _, w := range waiters {
				select {
				case <-w.wake:
				default:
				}
			}
		}
		if mean := float64(went) / rounds; mean < 0.7 || mean > 1.3 {
			t.Errorf("%.2f entries go at once", mean)
		}
		for i, n := range each {
			if n < rounds/entries/2 {
				t.Errorf("entry %d went %d times in %d", i, n, rounds)
			}
		}
		alone := New()
		w := alone.Enter(Ask{})
		alone.ChangedElsewhere(0)
		select {
		case <-w.wake:
		default:
			t.Error("who waits alone is not woken")
		}
	})
}
