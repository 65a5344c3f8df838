package sitecontrol

import (
	"testing"
	"time"
)

// Guards against the sums of loads of a thousand engines filling links of 10 Mbit/s when
// every entry gets them many times a second. The sizes are those of sums with 9, 90, 300
// and 1,000 engines.
func TestLoadsPauseBoundsTheRate(t *testing.T) {
	for _, x := range []struct {
		entries, size int
		interval      time.Duration
	}{
		{6, 160, 25 * time.Millisecond},
		{86, 2_200, 150 * time.Millisecond},
		{30, 5_000, 250 * time.Millisecond},
		{100, 15_000, 750 * time.Millisecond},
	} {
		if got := sumsInterval(x.entries, x.size); got != x.interval {
			t.Errorf("%d entries, %d bytes: %s, not %s", x.entries, x.size, got, x.interval)
		}
	}
}
