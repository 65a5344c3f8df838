package stores

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func part(id string) Part { return Part{Salt: "m/1", ID: id} }

func filled(ids ...string) *Shelf {
	s := NewShelf("1:1", 1000)
	l := Listing{Epoch: 5, Next: 10, Held: map[Part]int{}}
	for _, id := range ids {
		l.Held[part(id)] = 100
	}
	s.TakeList(l, start)
	return s
}

// A store loses power and comes back empty. Whoever still believes its parts to
// be there sends engines to fetch what isn't, and the prompts are read anew
// after a wait.
func TestRestartedStoreIsListedAnew(t *testing.T) {
	s := filled("a", "b")
	if _, list := s.Take(Feed{Epoch: 6, Next: 0}, start); !list {
		t.Fatal("the restart was not noticed")
	}
	changed := s.TakeList(Listing{Epoch: 6, Next: 0, Held: map[Part]int{part("b"): 100}}, start)
	if len(changed) != 1 || changed[0] != part("a") {
		t.Errorf("changed %v", changed)
	}
	if _, list := s.Take(Feed{Epoch: 6, Next: 1, Lost: true}, start); !list {
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
	if _, ok := s.Whole(part("a")); ok {
		t.Error("entries may still fetch it")
	}
	if due := s.Due(start.Add(StaleAfter + FetchWindow)); len(due) != 0 {
		t.Error("it is freed while a fetch may run")
	}
	if due := s.Due(start.Add(HoldBeforeFree)); len(due) != 1 {
		t.Errorf("due %v", due)
	}
	if again := s.Withdraw(func(p Part) bool { return p == part("a") }, 1, start); len(again) != 0 {
		t.Error("it is withdrawn twice")
	}
}

func TestOldestMakeRoom(t *testing.T) {
	s := filled("a")
	s.Take(Feed{Epoch: 5, Next: 11, Changes: []Change{{Part: part("b"), Added: true, Tokens: 800}}}, start.Add(time.Second))
	marked := s.Withdraw(func(Part) bool { return false }, 0.85, start.Add(2*time.Second))
	if len(marked) != 1 || marked[0] != part("a") {
		t.Errorf("marked %v", marked)
	}
}
