package tree

import (
	"fmt"
	"slices"

	"hornbeamwood/internal/settings/tomlfile"
)

// editor applies changes in order and records their effects.
type editor struct {
	tree     Tree
	effects  []Effect
	problems tomlfile.Problems
}

// Edit returns the tree after all changes, and their effects. It validates the
// whole resulting tree; an error is of type tomlfile.Problems, and the tree is unchanged.
func (t Tree) Edit(changes []Change) (Tree, []Effect, error) {
	next, effects, err := t.Apply(changes)
	if err != nil {
		return t, nil, err
	}
	if err := next.Validate().Err(); err != nil {
		return t, nil, err
	}
	return next, effects, nil
}

// Apply returns the tree after changes, and their effects. It checks each
// change but not the whole resulting tree, which suits the changes of an accepted edit.
func (t Tree) Apply(changes []Change) (Tree, []Effect, error) {
	e := &editor{tree: t}
	for _, c := range changes {
		e.apply(c)
	}
	if err := e.problems.Err(); err != nil {
		return t, nil, err
	}
	return e.tree, e.effects, nil
}

func (e *editor) addProblem(p Path, key, format string, args ...any) {
	e.problems = append(e.problems, tomlfile.Problem{Key: Label(p, key), Message: fmt.Sprintf(format, args...)})
}

// Label returns the name of a setting in problems: the branch's path and the key, or the path alone if key is empty.
func Label(p Path, key string) string {
	if key == "" {
		return string(p)
	}
	return string(p) + " " + key
}

func (e *editor) apply(c Change) {
	p, err := ParsePath(string(c.Path))
	if err != nil || p != c.Path {
		e.addProblem(c.Path, "", "not a path of a branch: %v", err)
		return
	}
	switch c.Action {
	case Set:
		e.set(p, c.Key, c.Value)
	case Unset:
		e.unset(p, c.Key)
	case Create:
		e.create(p)
	case Remove:
		e.remove(p)
	case Replace:
		e.replace(p, c.Branches)
	default:
		e.addProblem(p, c.Key, "unknown action %q", c.Action)
	}
}

// checkExists reports whether branch p exists and adds a problem if it does not.
// Only Create adds branches, so that a mistyped name can't create a second workspace.
func (e *editor) checkExists(p Path) bool {
	if e.tree.Has(p) {
		return true
	}
	_, first, second := p.split()
	name := first
	if second != "" {
		name = second
	}
	if n, ok := tomlfile.Nearest(name, e.tree.siblings(p)); ok {
		e.addProblem(p, "", "there is no such branch; the nearest one is named %s", n)
		return false
	}
	e.addProblem(p, "", "there is no such branch")
	return false
}

func (e *editor) set(p Path, key string, v Value) {
	s, err := Lookup(p.Kind(), key)
	if err == nil {
		err = s.check(v)
	}
	if err != nil {
		e.addProblem(p, key, "%v", err)
		return
	}
	if !e.checkExists(p) {
		return
	}
	own, _ := e.tree.at(p)
	before, ok := own[key]
	if ok && before.Equal(v) {
		return
	}
	e.tree = e.tree.with(p, own.with(key, v))
	e.effects = append(e.effects, Effect{Action: Set, Path: p, Key: key, Before: before, After: v})
}

func (e *editor) unset(p Path, key string) {
	if _, err := Lookup(p.Kind(), key); err != nil {
		e.addProblem(p, key, "%v", err)
		return
	}
	if !e.checkExists(p) {
		return
	}
	own, _ := e.tree.at(p)
	before, ok := own[key]
	if !ok {
		return
	}
	e.tree = e.tree.with(p, own.without(key))
	e.effects = append(e.effects, Effect{Action: Unset, Path: p, Key: key, Before: before})
}

func (e *editor) create(p Path) {
	if e.tree.Has(p) {
		return
	}
	if parent, _ := p.Parent(); !e.checkExists(parent) {
		return
	}
	e.tree = e.tree.with(p, nil)
	e.effects = append(e.effects, Effect{Action: Create, Path: p})
}

func (e *editor) remove(p Path) {
	if p == RootPath {
		e.addProblem(p, "", "the root can't be removed")
		return
	}
	if !e.checkExists(p) {
		return
	}
	e.removeAll(e.tree.Paths(p))
}

// removeAll removes branches in reverse order, so that each is removed before its parent.
func (e *editor) removeAll(paths []Path) {
	for _, p := range slices.Backward(paths) {
		own, _ := e.tree.at(p)
		for _, key := range own.keys() {
			e.unset(p, key)
		}
		if p == RootPath || p == FleetPath {
			continue
		}
		e.tree = e.tree.without(p)
		e.effects = append(e.effects, Effect{Action: Remove, Path: p})
	}
}

func (e *editor) replace(p Path, branches []Branch) {
	wanted := make(map[Path]values, len(branches))
	for _, b := range branches {
		if !e.addWanted(p, b, wanted) {
			return
		}
	}
	if _, ok := wanted[p]; !ok {
		e.addProblem(p, "", "the new branches lack this one")
		return
	}
	var removed []Path
	for _, q := range e.tree.Paths(p) {
		if _, ok := wanted[q]; !ok {
			removed = append(removed, q)
		}
	}
	e.removeAll(removed)
	for _, b := range branches {
		e.replaceValues(b.Path, wanted[b.Path])
	}
}

// addWanted adds the values of b to wanted. It adds a problem and returns false if b is not p or a descendant of p, or is a duplicate.
func (e *editor) addWanted(p Path, b Branch, wanted map[Path]values) bool {
	if q, err := ParsePath(string(b.Path)); err != nil || q != b.Path || !b.Path.within(p) {
		e.addProblem(b.Path, "", "is no branch at or below %s", p)
		return false
	}
	if _, ok := wanted[b.Path]; ok {
		e.addProblem(b.Path, "", "stands twice")
		return false
	}
	v := values{}
	for _, a := range b.Values {
		v[a.Key] = a.Value
	}
	wanted[b.Path] = v
	return true
}

// replaceValues replaces all values of branch p with v and creates the branch if it is missing.
func (e *editor) replaceValues(p Path, v values) {
	e.create(p)
	own, _ := e.tree.at(p)
	for _, key := range own.keys() {
		if _, ok := v[key]; !ok {
			e.unset(p, key)
		}
	}
	for _, key := range v.keys() {
		e.set(p, key, v[key])
	}
}
