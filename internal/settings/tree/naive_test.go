package tree

import (
	"maps"
	"reflect"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// naive is a reference implementation of the tree: a flat map that every operation searches.
type naive map[Path]map[string]Value

func (n naive) apply(c Change) bool {
	switch c.Action {
	case Create:
		if n[c.Path] != nil {
			return true
		}
		parent, _ := c.Path.Parent()
		if n[parent] == nil {
			return false
		}
		n[c.Path] = map[string]Value{}
	case Remove:
		if n[c.Path] == nil {
			return false
		}
		for p := range n {
			if p == c.Path || strings.HasPrefix(string(p), string(c.Path)+"/") {
				delete(n, p)
			}
		}
	case Set:
		if n[c.Path] == nil {
			return false
		}
		n[c.Path][c.Key] = c.Value
	case Unset:
		if n[c.Path] == nil {
			return false
		}
		delete(n[c.Path], c.Key)
	}
	return true
}

func (n naive) clone() naive {
	c := naive{}
	for p, v := range n {
		c[p] = maps.Clone(v)
	}
	return c
}

// flatten returns the naive form of t.
func flatten(t Tree) naive {
	n := naive{}
	for _, p := range t.Paths(RootPath) {
		own, _ := t.at(p)
		n[p] = map[string]Value{}
		maps.Copy(n[p], own)
	}
	return n
}

var (
	paths   = []Path{RootPath, FleetPath, "/models/a", "/models/b", "/services/a", "/operators/o", "/workspaces/w", "/workspaces/w/models/a", "/workspaces/w/services/a", "/workspaces/x", "/workspaces/x/models/b", "/models/m-1.5", "/workspaces/x/models/m-1.5"}
	actions = []Action{Set, Set, Set, Unset, Create, Create, Remove}
)

// changeOf derives from a random number a change that the schema allows.
func changeOf(n uint32) Change {
	p := paths[n%uint32(len(paths))]
	n /= uint32(len(paths))
	a := actions[n%uint32(len(actions))]
	n /= uint32(len(actions))
	if a == Remove && (p == RootPath || p == FleetPath) {
		a = Unset
	}
	c := Change{Action: a, Path: p}
	if a == Create || a == Remove {
		return c
	}
	var settings []Setting
	for _, s := range schema {
		if s.allowed(p.Kind()) {
			settings = append(settings, s)
		}
	}
	s := settings[n%uint32(len(settings))]
	c.Key = s.Name
	if a == Set {
		c.Value = []Value{s.Default, s.Max, s.Min}[n/7%3]
		if c.Value.Type == 0 {
			c.Value = s.Default
		}
	}
	return c
}

// Trees share branches between revisions. Changing a shared branch in place
// would alter an older revision, and operators would see a wrong history.
func TestEditsAgreeWithNaiveTree(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 300
	p := gopter.NewProperties(parameters)
	p.Property("same branches, replayable effects, old versions unchanged", prop.ForAll(func(numbers []uint32) bool {
		model := naive{RootPath: {}, FleetPath: {}}
		var current, replayed Tree
		for _, n := range numbers {
			c := changeOf(n)
			old, oldFlat := current, flatten(current)
			next, effects, err := current.Apply([]Change{c})
			trial := model.clone()
			if trial.apply(c) != (err == nil) {
				return false
			}
			if err != nil {
				continue
			}
			model, current = trial, next
			for _, e := range effects {
				if replayed, _, err = replayed.Apply([]Change{e.Change()}); err != nil {
					return false
				}
			}
			same := reflect.DeepEqual(flatten(current), model) && reflect.DeepEqual(flatten(replayed), model)
			if !same || !reflect.DeepEqual(flatten(old), oldFlat) {
				return false
			}
		}
		return true
	}, gen.SliceOfN(40, gen.UInt32())))
	p.Property("after a replacement the trees are equal", prop.ForAll(func(a, b []uint32) bool {
		from, to := applyAll(a), applyAll(b)
		text, err := FormatTOML(RootPath, to.Branches(RootPath))
		if err != nil {
			return false
		}
		s, err := ParseTOML(RootPath, "", text)
		if err != nil {
			return false
		}
		got, _, err := from.Apply([]Change{s.Replace()})
		return err == nil && reflect.DeepEqual(flatten(got), flatten(to))
	}, gen.SliceOfN(30, gen.UInt32()), gen.SliceOfN(30, gen.UInt32())))
	p.Property("net differences lead from the first tree to the last", prop.ForAll(func(a, b []uint32) bool {
		from := applyAll(a)
		to, all := from, []Effect(nil)
		for _, n := range b {
			next, effects, err := to.Apply([]Change{changeOf(n)})
			if err == nil {
				to, all = next, append(all, effects...)
			}
		}
		net := Net(all)
		var changes []Change
		for _, e := range net {
			changes = append(changes, e.Change())
		}
		got, effects, err := from.Apply(changes)
		return err == nil && len(effects) == len(net) && reflect.DeepEqual(flatten(got), flatten(to))
	}, gen.SliceOfN(30, gen.UInt32()), gen.SliceOfN(30, gen.UInt32())))
	p.TestingRun(t)
}

func applyAll(numbers []uint32) Tree {
	var t Tree
	for _, n := range numbers {
		t, _, _ = t.Apply([]Change{changeOf(n)})
	}
	return t
}
