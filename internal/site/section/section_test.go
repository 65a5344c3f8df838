package section

import (
	"fmt"
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
		h, _ := s.Active()
		r := apply(t, s, put(t, document.Document{Revision: p.number}, p.source, h))
		if got := source(t, s); !r.Taken || r.Changed != p.changed || got != p.held {
			t.Errorf("%d %s: %+v, held %s", p.number, p.source, r, got)
		}
	}
}

// A replica that was away for long gets a snapshot in place of the log; what
// was accepted meanwhile must be in force there as well.
func TestSnapshotHoldsEverything(t *testing.T) {
	s := New(Config{})
	apply(t, s, put(t, document.Document{Revision: 4}, "x", ActiveDocument{}))
	apply(t, s, Command{SetTargetVersion: &SetTargetVersion{Model: "m", Version: 3}})
	apply(t, s, Command{SetTargetVersion: &SetTargetVersion{Model: "m", Version: 2}})
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	told := false
	o := New(Config{Changed: func() { told = true }})
	if err := o.Restore(b); err != nil {
		t.Fatal(err)
	}
	h, ok := o.Active()
	if !ok || h.Document.Revision != 4 || source(t, o) != "x" || o.TargetVersions()["m"] != 3 || !told {
		t.Errorf("restored %+v %v %v", h, o.TargetVersions(), told)
	}
}

// A change leaves out the chunks that it shares with the document in force; when
// another change has come in between, they aren't held any more and must be sent.
func TestChangeOverAnotherDocumentIsSentWhole(t *testing.T) {
	s := New(Config{})
	apply(t, s, put(t, document.Document{Revision: 1, Routes: routes(500)}, "one", ActiveDocument{}))
	h, _ := s.Active()
	late := put(t, document.Document{Revision: 3, Routes: routes(500)}, "three", h)
	apply(t, s, put(t, document.Document{Revision: 2}, "two", h))
	if r := apply(t, s, late); !r.MissingChunks || r.Changed || source(t, s) != "two" {
		t.Errorf("%+v, held %s", r, source(t, s))
	}
	if r := apply(t, s, put(t, document.Document{Revision: 3, Routes: routes(500)}, "three", ActiveDocument{})); !r.Changed || source(t, s) != "three" {
		t.Errorf("%+v, held %s", r, source(t, s))
	}
}

// A replica is started with a new release on the data of an earlier one, whose
// log and snapshots hold documents whole; none of them may be lost.
func TestDocumentsOfEarlierReleasesAreRead(t *testing.T) {
	whole := Put{Document: document.Document{Revision: 6, Routes: routes(3)}, Source: []byte("six")}
	s := New(Config{})
	if r := apply(t, s, Command{Put: &whole}); !r.Changed || source(t, s) != "six" {
		t.Errorf("log: %+v, held %s", r, source(t, s))
	}
	b, err := codec.Marshal(image{Held: &whole})
	if err != nil {
		t.Fatal(err)
	}
	o := New(Config{})
	if err := o.Restore(b); err != nil {
		t.Fatal(err)
	}
	if h, _ := o.Active(); source(t, o) != "six" || len(h.Document.Routes) != 3 {
		t.Errorf("snapshot: %+v", h.Document)
	}
}

// One route in place of another in a large document must not send the log all of it.
func TestSmallChangeIsASmallCommand(t *testing.T) {
	const most = 64 << 10 // a document of 4,000 routes has ten times as much
	s := New(Config{})
	all := routes(4000)
	apply(t, s, put(t, document.Document{Revision: 1, Routes: all}, "one", ActiveDocument{}))
	h, _ := s.Active()
	all[2000].Prefix = "/other/"
	b, err := codec.Marshal(put(t, document.Document{Revision: 2, Routes: all}, "two", h))
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > most {
		t.Errorf("the command has %d bytes", len(b))
	}
}

func routes(n int) []document.Route {
	all := make([]document.Route, 0, n)
	for i := range n {
		all = append(all, document.Route{Name: fmt.Sprint("r", i), Host: fmt.Sprintf("h%d.example", i*7919), Prefix: fmt.Sprintf("/p%x/", i*104729), Timeout: time.Second})
	}
	return all
}

func put(t *testing.T, d document.Document, source string, h ActiveDocument) Command {
	t.Helper()
	c, err := NewPutChunks(d, []byte(source), h)
	if err != nil {
		t.Fatal(err)
	}
	return Command{PutChunks: &c}
}

func source(t *testing.T, s Section) string {
	t.Helper()
	h, _ := s.Active()
	b, err := h.Source()
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
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
