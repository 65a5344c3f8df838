package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/state"
)

func apply(t testing.TB, s state.Section, at time.Time, c Command) Result {
	t.Helper()
	b, err := codec.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	r, err := codec.Unmarshal[Result](s.Apply(at, b))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Several processes request one lease, responses are lost, and the section is
// restored from snapshots in between. If two grants had the same fencing number,
// an engine could not tell orders of the previous holder from those of the
// current one.
func TestFencingStrictlyIncreases(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(9)
	p.MinSuccessfulTests = 300
	all := gopter.NewProperties(p)
	all.Property("one holder at a time, increasing fencing numbers", prop.ForAll(func(seed uint64) bool {
		r := rand.New(rand.NewPCG(seed, 9))
		s, at := New(), time.Unix(100, 0)
		last := uint64(0)
		owner := map[uint64]string{}
		for range 80 {
			at = at.Add(time.Duration(r.IntN(4000)) * time.Millisecond)
			holder := []string{"a", "b", "c"}[r.IntN(3)]
			var x Result
			switch r.IntN(5) {
			case 0, 1:
				x = apply(t, s, at, Command{Acquire: &Acquire{Name: "orders", Holder: holder, Duration: 10 * time.Second}})
			case 2:
				x = apply(t, s, at, Command{Renew: &Renew{Name: "orders", Holder: holder, Fencing: last, Duration: 10 * time.Second}})
			case 3:
				x = apply(t, s, at, Command{Release: &Release{Name: "orders", Holder: holder, Fencing: last}})
			case 4:
				s = restored(t, s)
				continue
			}
			if !x.Granted {
				continue
			}
			if x.Fencing < last || (owner[x.Fencing] != "" && owner[x.Fencing] != holder) {
				return false
			}
			last, owner[x.Fencing] = x.Fencing, holder
		}
		return true
	}, gen.UInt64()))
	all.TestingRun(t)
}

func restored(t *testing.T, s state.Section) state.Section {
	t.Helper()
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	n := New()
	if err := n.Restore(b); err != nil {
		t.Fatal(err)
	}
	return n
}

func TestLeaseLifecycle(t *testing.T) {
	s, at := New(), time.Unix(100, 0)
	a := Acquire{Name: "orders", Holder: "a", Duration: 10 * time.Second}
	first := apply(t, s, at, Command{Acquire: &a})
	if !first.Granted || first.Wait != 0 {
		t.Fatalf("got %+v", first)
	}
	if resent := apply(t, s, at, Command{Acquire: &a}); resent.Fencing != first.Fencing {
		t.Errorf("the resent acquire got another fencing number: %+v", resent)
	}
	b := Acquire{Name: "orders", Holder: "b", Duration: 10 * time.Second}
	if r := apply(t, s, at, Command{Acquire: &b}); r.Granted || r.Reason != Held || r.Holder != "a" {
		t.Errorf("got %+v", r)
	}
	note := Renew{Name: "orders", Holder: "a", Fencing: first.Fencing, Duration: 10 * time.Second, Note: []byte("x"), NoteVersion: 2}
	if r := apply(t, s, at, Command{Renew: &note}); !r.Granted {
		t.Errorf("got %+v", r)
	}
	old := note
	old.Note, old.NoteVersion = []byte("w"), 1
	if r := apply(t, s, at, Command{Renew: &old}); !r.Granted {
		t.Errorf("got %+v", r)
	}
	at = at.Add(10 * time.Second)
	if r := apply(t, s, at, Command{Renew: &note}); r.Granted || r.Reason != Lost {
		t.Errorf("an expired lease was renewed: %+v", r)
	}
	second := apply(t, s, at, Command{Acquire: &b})
	if !second.Granted || second.Fencing <= first.Fencing || second.Wait != 10*time.Second || string(second.Note) != "x" {
		t.Errorf("got %+v", second)
	}
	if resent := apply(t, s, at, Command{Acquire: &b}); resent.Wait != second.Wait || string(resent.Note) != "x" {
		t.Errorf("the resent acquire did not return the wait and note: %+v", resent)
	}
	release := Command{Release: &Release{Name: "orders", Holder: "a", Fencing: first.Fencing}}
	if r := apply(t, s, at, release); r.Granted {
		t.Errorf("a previous holder released the lease: %+v", r)
	}
	release = Command{Release: &Release{Name: "orders", Holder: "b", Fencing: second.Fencing}}
	if r := apply(t, s, at, release); !r.Granted {
		t.Errorf("got %+v", r)
	}
	if r := apply(t, s, at, Command{Acquire: &a}); !r.Granted || r.Wait != 0 || r.Fencing <= second.Fencing {
		t.Errorf("got %+v", r)
	}
}

// A command from a process of another version, or a truncated one, must not
// change the state, so that all replicas stay equal.
func TestMalformedCommandsChangeNothing(t *testing.T) {
	s := New()
	before, _ := s.Snapshot()
	for _, c := range []Command{
		{},
		{Acquire: &Acquire{Name: "", Holder: "a", Duration: time.Second}},
		{Acquire: &Acquire{Name: "x", Holder: "", Duration: time.Second}},
		{Acquire: &Acquire{Name: "x", Holder: "a", Duration: 2 * MaxDuration}},
		{Acquire: &Acquire{Name: "x", Holder: "a", Duration: -1}},
		{Renew: &Renew{Name: "x", Holder: "a", Duration: time.Second}},
		{Release: &Release{Name: "x", Holder: ""}},
	} {
		if r := apply(t, s, time.Unix(1, 0), c); r.Granted {
			t.Errorf("%+v was granted", c)
		}
	}
	if r, err := codec.Unmarshal[Result](s.Apply(time.Unix(1, 0), []byte{0xff, 1})); err != nil || r.Reason != Malformed {
		t.Errorf("got %+v, %v", r, err)
	}
	after, _ := s.Snapshot()
	if string(before) != string(after) {
		t.Error("the state changed")
	}
}
