package stores

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func part(id string) Part { return Part{Salt: "m/1", ID: id} }

func filled(ids ...string) *StoreInventory {
	s := NewStoreInventory("1:1", 1000)
	l := Listing{Epoch: 5, Next: 10, Held: map[Part]int{}}
	for _, id := range ids {
		l.Held[part(id)] = 100
	}
	s.ApplyListing(l, start)
	return s
}

// A store loses power and comes back empty. Whoever still believes its parts to
// be there sends engines to fetch what isn't, and the prompts are read anew
// after a wait.
func TestRestartedStoreIsListedAnew(t *testing.T) {
	s := filled("a", "b")
	if _, list := s.ApplyFeed(Feed{Epoch: 6, Next: 0}, start); !list {
		t.Fatal("the restart was not noticed")
	}
	changed := s.ApplyListing(Listing{Epoch: 6, Next: 0, Held: map[Part]int{part("b"): 100}}, start)
	if len(changed) != 1 || changed[0] != part("a") {
		t.Errorf("changed %v", changed)
	}
	if _, list := s.ApplyFeed(Feed{Epoch: 6, Next: 1, Lost: true}, start); !list {
		t.Error("a gap in the changes was passed over")
	}
}

// A part is freed while an engine fetches it: the engine would go on with
// memory that belongs to another prompt. So entries are told first, and the
// part stays until the last fetch that they may have begun has ended.
func TestPartStaysUntilFetchesHaveEnded(t *testing.T) {
	s := filled("a", "b")
	marked := s.Withdraw(func(p Part) bool { return p == part("a") }, 1, start)
	if len(marked) != 1 {
		t.Fatalf("marked %v", marked)
	}
	if _, ok := s.Fetchable(part("a")); ok {
		t.Error("entries may still fetch it")
	}
	s.MarkAnnounced(marked, 7)
	if due := s.Freeable(7, start.Add(FetchWindow)); len(due) != 0 {
		t.Error("it is freed while a fetch may run")
	}
	if due := s.Freeable(7, start.Add(FetchWindow+freeSlack)); len(due) != 1 {
		t.Errorf("due %v though every entry knows", due)
	}
	if due := s.Freeable(6, start.Add(StaleAfter+FetchWindow)); len(due) != 0 {
		t.Error("it is freed though an entry may still believe it there")
	}
	if due := s.Freeable(6, start.Add(StaleAfter+FetchWindow+freeSlack)); len(due) != 1 {
		t.Errorf("due %v", due)
	}
	if again := s.Withdraw(func(p Part) bool { return p == part("a") }, 1, start); len(again) != 0 {
		t.Error("it is withdrawn twice")
	}
}

// More parts return than the stores can hold. Were the oldest dropped for the
// newest, each of them would be gone right before it is asked for again; only
// what nobody has asked for in a long time makes room.
func TestIdlePartsMakeRoom(t *testing.T) {
	s := filled("a", "b")
	s.ApplyFeed(Feed{Epoch: 5, Next: 11, Changes: []Change{{Part: part("c"), Added: true, Tokens: 750}}}, start.Add(time.Second))
	never := func(Part) bool { return false }
	if marked := s.Withdraw(never, 0.85, start.Add(2*time.Second)); len(marked) != 0 {
		t.Errorf("marked %v", marked)
	}
	s.Touch(part("a").Hash(), start.Add(10*time.Second))
	marked := s.Withdraw(never, 0.85, start.Add(idleBeforeFree))
	if len(marked) != 1 || marked[0] != part("b") {
		t.Errorf("marked %v", marked)
	}
}

// A server crashes while it writes a part to a store. The half part keeps its
// room until it is freed, and the store fills with halves.
func TestHalfPartsAreFreed(t *testing.T) {
	s := NewStoreInventory("1:1", 1000)
	l := Listing{Epoch: 5, Partial: map[Part]int{part("a"): 100}}
	s.ApplyListing(l, start)
	if due := s.Freeable(0, start.Add(time.Hour)); len(due) != 0 {
		t.Error("a part that is being written is freed")
	}
	s.ApplyListing(l, start.Add(20*time.Second))
	if due := s.Freeable(0, start.Add(time.Hour)); len(due) != 1 {
		t.Errorf("due %v", due)
	}
}
