package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/events"
)

var testKeys = block.Scope{PieceTokens: 1}.Tokens([]uint32{1, 2, 3, 4, 5, 6, 7, 8})

// naiveMemory applies events in order and ignores how they were batched.
type naiveMemory map[block.Key]bool

func (n naiveMemory) apply(all []events.Event) {
	for _, e := range all {
		n[e.Key] = e.Kind == events.Inserted
	}
}

func randomEvents(r *rand.Rand, n int) []events.Event {
	all := make([]events.Event, n)
	for i := range all {
		all[i] = events.Event{Kind: events.Inserted, Key: testKeys[r.IntN(len(testKeys))]}
		if r.IntN(2) == 0 {
			all[i].Kind = events.Evicted
		}
	}
	return all
}

// Batches of an engine's events arrive in any order and twice. An eviction that
// arrives before its insertion must win, and while a batch is missing none of
// the engine's locations may be used. Otherwise requests are sent to an engine
// that does not have the pieces.
func TestEventsInAnyOrder(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(61)
	p.MinSuccessfulTests = 500
	all := gopter.NewProperties(p)
	all.Property("the directory equals the naive memory", prop.ForAllNoShrink(func(seed uint64) string {
		r := rand.New(rand.NewPCG(seed, 61))
		d, now := New(Config{}), time.Unix(0, 0)
		history := randomEvents(r, 40)
		var batches []events.Report
		for at := 0; at < len(history); {
			n := min(1+r.IntN(5), len(history)-at)
			batches = append(batches, events.Report{Identity: "e", Incarnation: 3, First: uint64(at + 1), Events: history[at : at+n]})
			at += n
		}
		arrived := make([]bool, len(history))
		for _, i := range append(r.Perm(len(batches)), r.Perm(len(batches))...) {
			b := batches[i]
			for _, m := range NewRing([]string{"only"}).Distribute(b) {
				d.Update(now, *m.Message.Update)
			}
			for j := range b.Events {
				arrived[int(b.First)-1+j] = true
			}
			if fault := compare(d, history, arrived); fault != "" {
				return fault
			}
		}
		return ""
	}, gen.UInt64()))
	all.TestingRun(t)
}

// compare compares the lookup with the naive memory, which is empty while an event before the last one is missing.
func compare(d Directory, history []events.Event, arrived []bool) string {
	first, last := 0, 0
	for i, a := range arrived {
		if a {
			last = i + 1
		}
		if a && first == i {
			first = i + 1
		}
	}
	want := naiveMemory{}
	if first == last {
		want.apply(history[:first])
	}
	for i, l := range d.Lookup(testKeys) {
		if l.heldBy("e") != want[testKeys[i]] {
			return fmt.Sprintf("after %d of %d: piece %d is held: %v", first, last, i, l.heldBy("e"))
		}
	}
	return ""
}

// A batch is lost permanently, or the engine restarts under the same identity
// with an empty cache. Its locations must not be used until a listing arrives;
// after that, the listing and the events that follow it are used.
func TestListingClosesAGap(t *testing.T) {
	d, now := New(Config{}), time.Unix(0, 0)
	update := func(incarnation, first uint64, inserted bool, k block.Key) Effect {
		return d.Update(now, Update{Engine: "e", Incarnation: incarnation, First: first, Count: 1, Changes: []Change{{Evicted: !inserted, Key: k}}})
	}
	holds := func(want ...int) {
		t.Helper()
		expected := map[int]bool{}
		for _, i := range want {
			expected[i] = true
		}
		for i, l := range d.Lookup(testKeys) {
			if l.heldBy("e") != expected[i] {
				t.Errorf("piece %d is held: %v", i, l.heldBy("e"))
			}
		}
	}
	update(1, 1, true, testKeys[0])
	holds(0)
	if e := update(1, 3, true, testKeys[2]); !e.Gap || e.ListingWanted {
		t.Errorf("got %+v", e)
	}
	holds()
	now = now.Add(DefaultListingInterval)
	if e := update(1, 4, false, testKeys[1]); !e.ListingWanted {
		t.Errorf("got %+v", e)
	}
	part := ListingPart{Engine: "e", Incarnation: 1, Sequence: 3, Part: 1, Parts: 2, Keys: testKeys[1:2]}
	if e := d.Listing(now, part); e.Outcome != Buffered || !e.Gap {
		t.Errorf("got %+v", e)
	}
	part.Part, part.Keys = 2, testKeys[4:6]
	if e := d.Listing(now, part); e.Outcome != Applied || e.Gap {
		t.Errorf("got %+v", e)
	}
	holds(4, 5)
	if e := update(2, 1, true, testKeys[7]); !e.Restarted {
		t.Errorf("got %+v", e)
	}
	holds(7)
	if e := update(1, 5, true, testKeys[3]); e.Outcome != Outdated {
		t.Errorf("got %+v", e)
	}
	holds(7)
	d.InvalidateEngines(now)
	holds()
}
