package observe

import (
	"testing"
	"time"
)

// Guards against an engine that counts as slow because it prefilled another prompt, or as fast
// because two events arrived together, and against an old estimate of one that has changed.
func TestEventGapEstimate(t *testing.T) {
	tr := New()
	record := func(millis ...int) time.Duration {
		for _, m := range millis {
			tr.EventGap(&Attempt{Server: "s"}, time.Duration(m)*time.Millisecond)
		}
		return tr.Stats("s").EventGap
	}
	for _, x := range []struct {
		gaps []int
		want time.Duration
	}{
		{[]int{30, 30, 31}, 0},
		{[]int{400, 32, 0, 30, 500, 31}, 30 * time.Millisecond},
		{[]int{40, 41, 41, 42, 40, 41, 41, 42, 40, 41, 41, 42, 40, 41, 41, 42}, 41 * time.Millisecond},
	} {
		if got := record(x.gaps...); got != x.want {
			t.Errorf("after %v: %s, want %s", x.gaps, got, x.want)
		}
	}
}
