package stores

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func part(id string) Part { return Part{Salt: "m/1", ID: id} }

func inventoryWith(ids ...string) *StoreInventory {
	s := NewStoreInventory("1:1", 1000)
	l := Listing{Epoch: 5, Next: 10, Held: map[Part]int{}}
	for _, id := range ids {
		l.Held[part(id)] = 100
	}
	s.ApplyListing(l, start)
	return s
}

// Guards against an inventory that keeps the parts of a store which restarted empty:
// engines would try to fetch them, and prefill the prompts only after that failed.
func TestRestartedStoreIsListedAgain(t *testing.T) {
	s := inventoryWith("a", "b")
	if _, list := s.ApplyFeed(Feed{Epoch: 6, Next: 0}, start); !list {
		t.Fatal("the restart was not detected")
	}
	changed := s.ApplyListing(Listing{Epoch: 6, Next: 0, Held: map[Part]int{part("b"): 100}}, start)
	if len(changed) != 1 || changed[0] != part("a") {
		t.Errorf("changed %v", changed)
	}
	if _, list := s.ApplyFeed(Feed{Epoch: 6, Next: 1, Lost: true}, start); !list {
		t.Error("no listing is requested after lost changes")
	}
}

// Guards against freeing a part under a fetch that an entry has started just before it learned of the withdrawal, which may be
// some time after it.
func TestLongestFetchCountsFromTheAcknowledgement(t *testing.T) {
	s := inventoryWith("a", "b")
	s.MarkAnnounced(s.Withdraw(func(p Part) bool { return p == part("a") }, 1, start), 7)
	acknowledged := start.Add(2 * time.Second)
	for _, x := range []struct {
		revision uint64
		after    time.Time
		freeable int
	}{
		{6, start, 0},
		{7, acknowledged, 0},
		{7, start.Add(FetchWindow + freeMargin), 0},
		{7, acknowledged.Add(FetchWindow), 0},
		{7, acknowledged.Add(FetchWindow + freeMargin), 1},
	} {
		if freeable := s.Freeable(x.revision, x.after); len(freeable) != x.freeable {
			t.Errorf("after %v, revision %d acknowledged: freeable %v", x.after.Sub(start), x.revision, freeable)
		}
	}
}

// Guards against freeing a part while an engine fetches it: the engine would continue with
// memory of another prompt. Entries are notified first, and the part stays
// until the last fetch that they may have started has ended.
func TestPartIsNotFreedWhileFetchesMayRun(t *testing.T) {
	s := inventoryWith("a", "b")
	withdrawn := s.Withdraw(func(p Part) bool { return p == part("a") }, 1, start)
	if len(withdrawn) != 1 {
		t.Fatalf("withdrawn %v", withdrawn)
	}
	if _, ok := s.Fetchable(part("a")); ok {
		t.Error("a withdrawn part is fetchable")
	}
	s.MarkAnnounced(withdrawn, 7)
	if freeable := s.Freeable(6, start.Add(StaleAfter+FetchWindow)); len(freeable) != 0 {
		t.Error("the part is freed though an entry may still start a fetch of it")
	}
	if freeable := s.Freeable(6, start.Add(StaleAfter+FetchWindow+freeMargin)); len(freeable) != 1 {
		t.Errorf("freeable %v", freeable)
	}
	if again := s.Withdraw(func(p Part) bool { return p == part("a") }, 1, start); len(again) != 0 {
		t.Error("the part is withdrawn twice")
	}
}

// Guards against plain LRU eviction when the working set exceeds the capacity: each part
// would be evicted right before it is requested again. Only idle parts are evicted.
func TestOnlyIdlePartsAreEvicted(t *testing.T) {
	s := inventoryWith("a", "b")
	s.ApplyFeed(Feed{Epoch: 5, Next: 11, Changes: []Change{{Part: part("c"), Added: true, Tokens: 750}}}, start.Add(time.Second))
	unwantedNone := func(Part) bool { return false }
	if withdrawn := s.Withdraw(unwantedNone, 0.85, start.Add(2*time.Second)); len(withdrawn) != 0 {
		t.Errorf("withdrawn %v", withdrawn)
	}
	s.Touch(part("a").Hash(), start.Add(10*time.Second))
	withdrawn := s.Withdraw(unwantedNone, 0.85, start.Add(minIdleBeforeEviction))
	if len(withdrawn) != 1 || withdrawn[0] != part("b") {
		t.Errorf("withdrawn %v", withdrawn)
	}
}

// Guards against a store that fills with incomplete parts: a part whose writer crashed
// occupies capacity until it is freed.
func TestIncompletePartsAreFreed(t *testing.T) {
	s := NewStoreInventory("1:1", 1000)
	l := Listing{Epoch: 5, Partial: map[Part]int{part("a"): 100}}
	s.ApplyListing(l, start)
	if freeable := s.Freeable(0, start.Add(time.Hour)); len(freeable) != 0 {
		t.Error("a part that may still be written is freeable")
	}
	s.ApplyListing(l, start.Add(20*time.Second))
	if freeable := s.Freeable(0, start.Add(time.Hour)); len(freeable) != 1 {
		t.Errorf("freeable %v", freeable)
	}
}
