package section

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/document"
)

// Guards against a resend that reverts a newer document: two operators send changes at the same
// time, and one resends after a lost answer when the other's higher revision is already
// active. The resend must be answered without activating the older document again.
func TestLateDocumentChangesNothing(t *testing.T) {
	s := New(Config{})
	steps := []struct {
		revision int64
		source   string
		changed  bool
		active   string
	}{
		{7, "seven", true, "seven"},
		{9, "nine", true, "nine"},
		{7, "seven", false, "nine"},
		{9, "nine", false, "nine"},
		{9, "other nine", false, "nine"},
		{8, "eight", false, "nine"},
	}
	for _, step := range steps {
		active, _ := s.Active()
		r := apply(t, s, put(t, document.Document{Revision: step.revision}, step.source, active))
		if got := source(t, s); !r.Accepted || r.Changed != step.changed || got != step.active {
			t.Errorf("%d %s: %+v, active %s", step.revision, step.source, r, got)
		}
	}
}

// A replica that was down for long gets a snapshot instead of the log. All changes
// that were accepted meanwhile must be in effect there as well.
func TestSnapshotHoldsEverything(t *testing.T) {
	s := New(Config{})
	apply(t, s, put(t, document.Document{Revision: 4}, "x", ActiveDocument{}))
	apply(t, s, Command{SetTargetVersion: &SetTargetVersion{Model: "m", Version: 3}})
	apply(t, s, Command{SetTargetVersion: &SetTargetVersion{Model: "m", Version: 2}})
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	changed := false
	restored := New(Config{Changed: func() { changed = true }})
	if err := restored.Restore(b); err != nil {
		t.Fatal(err)
	}
	active, ok := restored.Active()
	if !ok || active.Document.Revision != 4 || source(t, restored) != "x" || restored.TargetVersions()["m"] != 3 || !changed {
		t.Errorf("restored %+v %v %v", active, restored.TargetVersions(), changed)
	}
}

// A change leaves out the chunks that it shares with the active document. After
// another change in between they are no longer stored and must be sent.
func TestChangeWithMissingChunksIsSentWhole(t *testing.T) {
	s := New(Config{})
	apply(t, s, put(t, document.Document{Revision: 1, Routes: routes(500)}, "one", ActiveDocument{}))
	active, _ := s.Active()
	late := put(t, document.Document{Revision: 3, Routes: routes(500)}, "three", active)
	apply(t, s, put(t, document.Document{Revision: 2}, "two", active))
	if r := apply(t, s, late); !r.MissingChunks || r.Changed || source(t, s) != "two" {
		t.Errorf("%+v, active %s", r, source(t, s))
	}
	if r := apply(t, s, put(t, document.Document{Revision: 3, Routes: routes(500)}, "three", ActiveDocument{})); !r.Changed || source(t, s) != "three" {
		t.Errorf("%+v, active %s", r, source(t, s))
	}
}

// A replica is started with a new release on the data of an earlier one, whose
// log and snapshots contain documents without chunks. None of them may be lost.
func TestDocumentsOfEarlierReleasesAreRead(t *testing.T) {
	legacy := Put{Document: document.Document{Revision: 6, Routes: routes(3)}, Source: []byte("six")}
	s := New(Config{})
	if r := apply(t, s, Command{Put: &legacy}); !r.Changed || source(t, s) != "six" {
		t.Errorf("log: %+v, active %s", r, source(t, s))
	}
	b, err := codec.Marshal(snapshot{Put: &legacy})
	if err != nil {
		t.Fatal(err)
	}
	restored := New(Config{})
	if err := restored.Restore(b); err != nil {
		t.Fatal(err)
	}
	if active, _ := restored.Active(); source(t, restored) != "six" || len(active.Document.Routes) != 3 {
		t.Errorf("snapshot: %+v", active.Document)
	}
}

// Replacing one route of a large document must not write the whole document to the log.
func TestSmallChangeIsASmallCommand(t *testing.T) {
	const maxBytes = 64 << 10 // a document of 4,000 routes is ten times as large
	s := New(Config{})
	all := routes(4000)
	apply(t, s, put(t, document.Document{Revision: 1, Routes: all}, "one", ActiveDocument{}))
	active, _ := s.Active()
	all[2000].Prefix = "/other/"
	b, err := codec.Marshal(put(t, document.Document{Revision: 2, Routes: all}, "two", active))
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > maxBytes {
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

func put(t *testing.T, d document.Document, source string, active ActiveDocument) Command {
	t.Helper()
	c, err := NewPutChunks(d, []byte(source), active)
	if err != nil {
		t.Fatal(err)
	}
	return Command{PutChunks: &c}
}

func source(t *testing.T, s Section) string {
	t.Helper()
	active, _ := s.Active()
	var b bytes.Buffer
	if err := active.WriteSource(&b); err != nil {
		t.Fatal(err)
	}
	if n, err := active.SourceSize(); err != nil || n != b.Len() {
		t.Errorf("the size is %d, %v; it has %d bytes", n, err, b.Len())
	}
	return b.String()
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
