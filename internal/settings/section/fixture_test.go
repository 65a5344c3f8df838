package section

import (
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/tree"
)

// now is the wall-clock time of all commands.
var now = time.Unix(1_800_000_000, 0)

func set(p tree.Path, key string, v tree.Value) tree.Change {
	return tree.Change{Action: tree.Set, Path: p, Key: key, Value: v}
}

// setupEdit returns the first edit, which adds two operators and a model to an empty tree.
func setupEdit() Edit {
	return Edit{ID: "setup", Operator: BootstrapOperator, Changes: []tree.Change{
		{Action: tree.Create, Path: "/operators/ana"},
		set("/operators/ana", "key-digests", tree.DigestsValue(digest.Of("ana"))),
		{Action: tree.Create, Path: "/operators/ben"},
		set("/operators/ben", "key-digests", tree.DigestsValue(digest.Of("ben"))),
		{Action: tree.Create, Path: "/models/m"},
		set("/models/m", "weight-version", tree.TextValue("1")),
	}}
}

func priorityEdit(id, operator string, base uint64, n int64) Edit {
	return Edit{ID: id, Base: base, Operator: operator, Changes: []tree.Change{set("/", "priority", tree.IntValue(n))}}
}

func encode[T any](t testing.TB, v T) []byte {
	t.Helper()
	b, err := codec.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func apply(t testing.TB, s state.Section, e Edit) Outcome {
	t.Helper()
	o, err := codec.UnmarshalStrict[Outcome](s.Apply(now, encode(t, e)))
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func query[T any](t testing.TB, s state.Section, q Query) T {
	t.Helper()
	b, err := s.Query(encode(t, q))
	if err != nil {
		t.Fatal(err)
	}
	v, err := codec.UnmarshalStrict[T](b)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// newSection returns a section at revision 1, after setupEdit.
func newSection(t testing.TB) Section {
	t.Helper()
	s := New()
	if o := apply(t, s, setupEdit()); o.Kind != Accepted || o.Revision != 1 {
		t.Fatalf("setup: %+v", o)
	}
	return s
}

func rootPriority(t testing.TB, s state.Section) int64 {
	t.Helper()
	for _, b := range query[Dump](t, s, Query{Kind: QueryBranch, Path: "/"}).Branches {
		for _, a := range b.Values {
			if b.Path == tree.RootPath && a.Key == "priority" {
				return a.Value.Number
			}
		}
	}
	return 0
}
