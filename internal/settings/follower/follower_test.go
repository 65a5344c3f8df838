package follower

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/rules"
	"hornbeamwood/internal/settings/section"
	"hornbeamwood/internal/settings/tree"
)

func edit(t testing.TB, s state.Section, id string, base uint64, changes ...tree.Change) section.Outcome {
	t.Helper()
	operator := "ana"
	if base == 0 {
		operator = section.BootstrapOperator
	}
	b, err := codec.Marshal(section.Edit{ID: id, Base: base, Operator: operator, Changes: changes})
	if err != nil {
		t.Fatal(err)
	}
	o, err := codec.Unmarshal[section.Outcome](s.Apply(time.Unix(1, 0), b))
	if err != nil || o.Kind != section.Accepted {
		t.Fatalf("%s: %+v, %v", id, o, err)
	}
	return o
}

func changes(t testing.TB, s state.Section, known uint64) section.Changes {
	t.Helper()
	c, err := codec.Unmarshal[section.Changes](changesAnswer(t, s, known))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func changesAnswer(t testing.TB, s state.Section, known uint64) []byte {
	t.Helper()
	q, err := codec.Marshal(section.Query{Kind: section.QueryChanges, Known: known})
	if err != nil {
		t.Fatal(err)
	}
	b, err := s.Query(q)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// sectionWithWorkspaces returns a section at revision 1 with n workspaces.
func sectionWithWorkspaces(t testing.TB, n int) state.Section {
	t.Helper()
	s := section.New()
	all := []tree.Change{
		{Action: tree.Create, Path: "/operators/ana"},
		{Action: tree.Set, Path: "/operators/ana", Key: "key-digests", Value: tree.DigestsValue(digest.Of("ana"))},
		{Action: tree.Create, Path: "/models/m"},
		{Action: tree.Set, Path: "/models/m", Key: "weight-version", Value: tree.TextValue("1")},
	}
	for i := range n {
		name := fmt.Sprintf("w%d", i)
		p := tree.WorkspacePath(name)
		all = append(all,
			tree.Change{Action: tree.Create, Path: p},
			tree.Change{Action: tree.Set, Path: p, Key: "key-digests", Value: tree.DigestsValue(digest.Of(name))},
			tree.Change{Action: tree.Create, Path: p.WithModel("m")},
		)
	}
	edit(t, s, "setup", 0, all...)
	return s
}

// Answers of control replicas reach an entry late and out of order. An older one
// must not restore settings that an operator has replaced, and changes must not be
// applied to a tree of another revision.
func TestNeverOlderNeverMixed(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(77)
	parameters.MinSuccessfulTests = 100
	p := gopter.NewProperties(parameters)
	p.Property("the copy is one of the accepted trees and never an older one", prop.ForAll(func(steps []uint32) bool {
		s, f := sectionWithWorkspaces(t, 2), New()
		revision := uint64(1)
		history := []tree.Tree{{}, fullTree(t, s)}
		var pending []section.Changes
		for i, n := range steps {
			if n%2 == 0 {
				v := tree.IntValue(int64(n>>3) % 100)
				revision = edit(t, s, fmt.Sprint(i), revision, tree.Change{Action: tree.Set, Path: "/workspaces/w1", Key: "priority", Value: v}).Revision
				history = append(history, fullTree(t, s))
			}
			pending = append(pending, changes(t, s, uint64(n>>8)%(revision+1)))
			before := f.View().Revision()
			v, err := f.Apply(pending[int(n>>4)%len(pending)])
			if v.Revision() < before || (err != nil && v.Revision() != before) {
				return false
			}
			if !reflect.DeepEqual(v.Tree.Branches("/"), history[v.Revision()].Branches("/")) {
				return false
			}
		}
		v, err := f.Apply(changes(t, s, f.View().Revision()))
		return err == nil && v.Revision() == revision && v.Rules.Revision == revision
	}, gen.SliceOfN(40, gen.UInt32())))
	p.TestingRun(t)
}

func fullTree(t testing.TB, s state.Section) tree.Tree {
	t.Helper()
	q, _ := codec.Marshal(section.Query{Kind: section.QueryBranch, Path: "/"})
	b, err := s.Query(q)
	if err != nil {
		t.Fatal(err)
	}
	d, err := codec.Unmarshal[section.Dump](b)
	if err != nil {
		t.Fatal(err)
	}
	got, err := tree.FromBranches(d.Branches)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// With 1,400 workspaces and 1,500 edits a day, answers that contained the whole
// tree would saturate the links between the VMs at each small edit.
func TestBytesOfAnEditDoNotGrowWithTheTree(t *testing.T) {
	var least, most int
	for _, n := range []int{10, 350, 1400} {
		s := sectionWithWorkspaces(t, n)
		edit(t, s, "small", 1, tree.Change{Action: tree.Set, Path: "/workspaces/w3/models/m", Key: "priority", Value: tree.IntValue(5)})
		delta, all := len(changesAnswer(t, s, 1)), len(changesAnswer(t, s, 0))
		t.Logf("%d workspaces: %d bytes for the edit, %d bytes for the whole tree", n, delta, all)
		if least == 0 {
			least = delta
		}
		most = max(most, delta)
	}
	if most > least+8 {
		t.Errorf("an edit takes %d bytes in a small tree and %d in a large one", least, most)
	}
}

func emptyRules(revision uint64) *rules.Snapshot {
	return &rules.Snapshot{Revision: revision}
}
