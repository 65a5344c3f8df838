package quarantine

import (
	"testing"
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// Guards against an entry that spends its processor time on counting the losses that wait, again and again.
func TestWaitingLossesAreCountedSeldom(t *testing.T) {
	var l Local
	counted := 0
	w := Waiting{Since: start, Losses: func() []Lost { counted++; return nil }}
	refutes := func(suspicion.Fingerprint, suspicion.Period) bool { return false }
	count := func(runs, added int) int {
		counted, w.Runs = 0, runs
		for at := start.Add(time.Minute); at.Before(start.Add(70 * time.Second)); at = at.Add(10 * time.Millisecond) {
			w.Runs += added
			l.Update(w, refutes, at)
		}
		l = Local{}
		return counted
	}
	if n := count(10, 0); n != 10 {
		t.Errorf("ten runs were counted %d times in 10 s, want once a second", n)
	}
	if n := count(1000, 1); n > 10 || n < 5 {
		t.Errorf("a thousand runs and more were counted %d times in 10 s", n)
	}
	if n := count(10, 1); n < 20 {
		t.Errorf("ten runs and more were counted %d times in 10 s", n)
	}
}
