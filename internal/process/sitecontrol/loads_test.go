package sitecontrol

import (
	"testing"
	"time"
)

// A fleet has a thousand engines. If every entry got the load of each of them many
// times a second, links of 10 Mbit/s would carry little else. The sizes are those
// of sums with 9, 90, 300 and 1,000 engines.
func TestSumsKeepToTheirRate(t *testing.T) {
	for _, x := range []struct {
		entries, size int
		pause         time.Duration
	}{
		{6, 160, 25 * time.Millisecond},
		{86, 2_200, 150 * time.Millisecond},
		{30, 5_000, 250 * time.Millisecond},
		{100, 15_000, 750 * time.Millisecond},
	} {
		if got := loadsPause(x.entries, x.size); got != x.pause {
			t.Errorf("%d entries, %d bytes: %s, not %s", x.entries, x.size, got, x.pause)
		}
	}
}
