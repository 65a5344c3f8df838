package siteentry

import (
	"testing"
	"time"

	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/parts"
	"hornbeamwood/internal/site/watch"
)

// Guards against entries that each take the whole of what they share right after all replicas were lost.
func TestReplicasThatJustStartedDontLowerTheCountOfEntries(t *testing.T) {
	s := newSite(nil, parts.NewResidency(), share.NewPeerLoads("e"), func() {})
	s.take("a", watch.Answer{Entries: 6})
	s.take("b", watch.Answer{Entries: 5})
	s.take("a", watch.Answer{Entries: 1})
	s.take("b", watch.Answer{Entries: 2})
	if n := s.Entries(); n != 6 {
		t.Errorf("%d entries, 6 poll", n)
	}
}

// Guards against entries that are gone for good keeping their share, and against replicas that were silent for long lowering the count at once.
func TestCountOfEntriesFallsAfterAWhile(t *testing.T) {
	var c entryCount
	now := time.Unix(1000, 0)
	c.saw(6, now)
	now = now.Add(2 * countHeld)
	c.saw(2, now)
	if c.number != 6 {
		t.Errorf("%d entries at the first lower word, 6 polled", c.number)
	}
	c.saw(2, now.Add(countHeld+time.Millisecond))
	if c.number != 2 {
		t.Errorf("%d entries, 2 are left", c.number)
	}
}
