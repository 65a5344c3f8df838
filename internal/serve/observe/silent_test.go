package observe

import (
	"testing"
	"time"
)

// Guards against a server that is chosen although it is silent for all its attempts, against a loss that counts
// twice, and against a server that stays ejected after it continues.
func TestSilentServerIsEjectedUntilItGoesOn(t *testing.T) {
	x, now := New(), time.Now()
	var all []*Attempt
	for range ejectionStreak {
		a := x.Begin(Attempt{Server: "s", SentAt: now})
		x.Silent(a, now)
		x.Silent(a, now)
		all = append(all, a)
	}
	if s := x.Stats("s"); !now.Before(s.EjectedUntil) || s.ConsecutiveLosses != ejectionStreak {
		t.Errorf("silent: got %+v", s)
	}
	x.End(all[0], Lost, now)
	if s := x.Stats("s"); s.ConsecutiveLosses != ejectionStreak {
		t.Errorf("lost after its silence: got %+v", s)
	}
	x.EndSilence(all[1], now)
	if s := x.Stats("s"); now.Before(s.EjectedUntil) || s.ConsecutiveLosses != 0 {
		t.Errorf("continues: got %+v", s)
	}
}

// Guards against a server that is ejected because this entry was found to be cut off only after some silence.
func TestSilenceOfALostPathIsTakenBack(t *testing.T) {
	x, now := New(), time.Now()
	for range 2 * ejectionStreak {
		a := x.Begin(Attempt{Server: "s", SentAt: now})
		x.Silent(a, now)
		x.End(a, NoPath, now)
	}
	if s := x.Stats("s"); now.Before(s.EjectedUntil) || s.ConsecutiveLosses != 0 {
		t.Errorf("got %+v", s)
	}
}
