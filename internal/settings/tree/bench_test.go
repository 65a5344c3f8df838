package tree

import (
	"fmt"
	"testing"

	"hornbeamwood/internal/settings/digest"
)

var sizes = []int{10, 350, 1400}

// treeWithWorkspaces returns a valid tree with n workspaces, each with two models and one service.
func treeWithWorkspaces(tb testing.TB, n int) Tree {
	tb.Helper()
	changes := []Change{
		{Action: Create, Path: "/models/a"},
		set("/models/a", "weight-version", TextValue("1")),
		{Action: Create, Path: "/models/b"},
		set("/models/b", "weight-version", TextValue("1")),
		{Action: Create, Path: "/services/s"},
		set("/services/s", "non-idempotent", BoolValue(true)),
		set("/", "region", TextValue("here")),
	}
	for i := range n {
		name := fmt.Sprintf("w%d", i)
		p := WorkspacePath(name)
		changes = append(changes,
			Change{Action: Create, Path: p},
			set(p, "key-digests", DigestsValue(digest.Of(name))),
			Change{Action: Create, Path: p.WithModel("a")},
			set(p.WithModel("a"), "priority", IntValue(3)),
			Change{Action: Create, Path: p.WithModel("b")},
			Change{Action: Create, Path: p.WithService("s")},
		)
	}
	t, _, err := Tree{}.Edit(changes)
	if err != nil {
		tb.Fatal(err)
	}
	return t
}

func BenchmarkEdit(b *testing.B) {
	for _, n := range sizes {
		t := treeWithWorkspaces(b, n)
		c := []Change{set("/workspaces/w3/models/a", "priority", IntValue(5))}
		b.Run(fmt.Sprintf("apply/workspaces=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _, _ = t.Apply(c)
			}
		})
		b.Run(fmt.Sprintf("apply-and-validate/workspaces=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _, _ = t.Edit(c)
			}
		})
	}
}

func BenchmarkBuild(b *testing.B) {
	for _, n := range sizes {
		t := treeWithWorkspaces(b, n)
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t.Build(1)
			}
		})
	}
}
