package section

import (
	"testing"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/document"
)

// isolating returns a document in which workspace w is isolated, or isn't.
func isolating(revision int64, isolated bool) document.Document {
	return document.Document{Revision: revision, Workspaces: []document.Workspace{{Name: "w", Isolated: isolated}, {Name: "v"}}}
}

// Guards against replicas that disagree about who has shared, because one of them got a snapshot.
func TestSharingSurvivesSnapshots(t *testing.T) {
	s := New(Config{})
	for _, d := range []document.Document{isolating(1, false), isolating(2, true), isolating(4, false)} {
		active, _ := s.Active()
		apply(t, s, put(t, d, "x", active))
	}
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New(Config{})
	if err := restored.Restore(b); err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]Section{"log": s, "snapshot": restored} {
		active, _ := x.Active()
		if active.SharedSalt != "2" {
			t.Errorf("%s: the shared text is %q before the third change", name, active.SharedSalt)
		}
		apply(t, x, put(t, isolating(7, true), "x", active))
		if active, _ = x.Active(); active.SharedSalt != "7" {
			t.Errorf("%s: the shared text is %q once w is isolated again, want 7", name, active.SharedSalt)
		}
	}
}

// Guards against a snapshot of an earlier release, which doesn't tell who has shared: what was made before must not be used.
func TestSnapshotWithoutSharingBeginsAText(t *testing.T) {
	c, err := NewPutChunks(isolating(9, true), []byte("x"), ActiveDocument{})
	if err != nil {
		t.Fatal(err)
	}
	b, err := codec.Marshal(snapshot{PutChunks: &c})
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{})
	if err := s.Restore(b); err != nil {
		t.Fatal(err)
	}
	if active, _ := s.Active(); active.SharedSalt != "9" {
		t.Errorf("the shared text is %q, want 9", active.SharedSalt)
	}
}
