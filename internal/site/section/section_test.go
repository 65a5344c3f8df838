package section

import (
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/document"
)

// Two operators send changes at the same time and one of them sends again
// after a lost answer, when the other's higher number is in force already. The
// late one must be answered, and nobody's requests may be handled by the older
// document again.
func TestLateDocumentChangesNothing(t *testing.T) {
	s := New(Config{})
	steps := []struct {
		number  int64
		source  string
		changed bool
		held    string
	}{
		{7, "seven", true, "seven"},
		{9, "nine", true, "nine"},
		{7, "seven", false, "nine"},
		{9, "nine", false, "nine"},
		{9, "other nine", false, "nine"},
		{8, "eight", false, "nine"},
	}
	for _, p := range steps {
		r := apply(t, s, Command{Put: &Put{Document: document.Document{Number: p.number}, Source: []byte(p.source)}})
		if h, _ := s.Held(); !r.Taken || r.Changed != p.changed || string(h.Source) != p.held {
			t.Errorf("%d %s: %+v, held %s", p.number, p.source, r, h.Source)
		}
	}
}

// A replica that was away for long gets a snapshot in place of the log; what
// was accepted meanwhile must be in force there as well.
func TestSnapshotHoldsEverything(t *testing.T) {
	s := New(Config{})
	apply(t, s, Command{Put: &Put{Document: document.Document{Number: 4}, Source: []byte("x")}})
	apply(t, s, Command{NameVersion: &NameVersion{Model: "m", Version: 3}})
	apply(t, s, Command{NameVersion: &NameVersion{Model: "m", Version: 2}})
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	told := false
	o := New(Config{Changed: func() { told = true }})
	if err := o.Restore(b); err != nil {
		t.Fatal(err)
	}
	h, ok := o.Held()
	if !ok || h.Document.Number != 4 || string(h.Source) != "x" || o.Versions()["m"] != 3 || !told {
		t.Errorf("restored %+v %v %v", h, o.Versions(), told)
	}
}

func apply(t *testing.T, s Section, c Command) Result {
	t.Helper()
	b, err := codec.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	r, err := codec.Unmarshal[Result](s.Apply(time.Time{}, b))
	if err != nil {
		t.Fatal(err)
	}
	return r
}
