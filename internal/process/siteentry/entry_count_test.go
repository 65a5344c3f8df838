package siteentry

import (
	"testing"
	"time"

	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/parts"
	"hornbeamwood/internal/site/watch"
)

// Guards against entries that each use the whole shared capacity right after all replicas were lost.
func TestRestartedReplicasDoNotLowerEntryCount(t *testing.T) {
	s := newSite(nil, parts.NewResidency(), share.NewPeerLoads("e"), func() {})
	s.apply("a", watch.Answer{Entries: 6})
	s.apply("b", watch.Answer{Entries: 5})
	s.apply("a", watch.Answer{Entries: 1})
	s.apply("b", watch.Answer{Entries: 2})
	if n := s.Entries(); n != 6 {
		t.Errorf("counted %d entries, 6 poll", n)
	}
}

// Guards against entries that are gone for good keeping their share, and against replicas that were silent for
// long lowering the count at once.
func TestEntryCountFallsAfterHoldTime(t *testing.T) {
	var c entryCount
	now := time.Unix(1000, 0)
	c.observe(6, now)
	now = now.Add(2 * countHoldTime)
	c.observe(2, now)
	if c.number != 6 {
		t.Errorf("counted %d entries after the first lower report, want 6", c.number)
	}
	c.observe(2, now.Add(countHoldTime+time.Millisecond))
	if c.number != 2 {
		t.Errorf("counted %d entries, 2 are left", c.number)
	}
}
