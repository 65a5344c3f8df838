package tree

import (
	"maps"
	"slices"
)

// Tree is an immutable settings tree. The zero Tree has only the root and the fleet branch, without values.
type Tree struct {
	root       values
	fleet      values
	models     *shardedMap[values]
	services   *shardedMap[values]
	operators  *shardedMap[values]
	workspaces *shardedMap[*workspaceBranch]
}

// Has reports whether the tree has branch p.
func (t Tree) Has(p Path) bool {
	_, ok := t.at(p)
	return ok
}

// Value returns the value that branch p itself sets for key.
func (t Tree) Value(p Path, key string) (Value, bool) {
	v, _ := t.at(p)
	x, ok := v[key]
	return x, ok
}

// OperatorCount returns the number of operators.
func (t Tree) OperatorCount() int {
	return t.operators.size()
}

// at returns the values of branch p and whether it exists.
func (t Tree) at(p Path) (values, bool) {
	k, first, second := p.split()
	switch k {
	case Root:
		return t.root, true
	case Fleet:
		return t.fleet, true
	case Workspace, WorkspaceModel, WorkspaceService:
		return t.atWorkspace(k, first, second)
	}
	return t.table(k).get(first)
}

func (t Tree) atWorkspace(k Kind, first, second string) (values, bool) {
	w, ok := t.workspaces.get(first)
	if !ok {
		return nil, false
	}
	if k == Workspace {
		return w.values, true
	}
	v, ok := w.children(k)[second]
	return v, ok
}

func (t Tree) table(k Kind) *shardedMap[values] {
	switch k {
	case Model:
		return t.models
	case Service:
		return t.services
	}
	return t.operators
}

// with returns a copy in which branch p has the values v; a missing branch is added.
func (t Tree) with(p Path, v values) Tree {
	if v == nil {
		v = values{}
	}
	k, first, second := p.split()
	switch k {
	case Root:
		t.root = v
	case Fleet:
		t.fleet = v
	case Workspace:
		w, ok := t.workspaces.get(first)
		if !ok {
			w = &workspaceBranch{}
		}
		t.workspaces = t.workspaces.with(first, w.withValues(v))
	case WorkspaceModel, WorkspaceService:
		w, _ := t.workspaces.get(first)
		t.workspaces = t.workspaces.with(first, w.withChild(k, second, v))
	default:
		t = t.withTable(k, t.table(k).with(first, v))
	}
	return t
}

// without returns a copy without branch p. The root and the fleet branch stay and lose their values.
func (t Tree) without(p Path) Tree {
	k, first, second := p.split()
	switch k {
	case Root, Fleet:
		return t.with(p, nil)
	case Workspace:
		t.workspaces = t.workspaces.without(first)
	case WorkspaceModel, WorkspaceService:
		w, _ := t.workspaces.get(first)
		t.workspaces = t.workspaces.with(first, w.withChild(k, second, nil))
	default:
		t = t.withTable(k, t.table(k).without(first))
	}
	return t
}

func (t Tree) withTable(k Kind, s *shardedMap[values]) Tree {
	switch k {
	case Model:
		t.models = s
	case Service:
		t.services = s
	default:
		t.operators = s
	}
	return t
}

// Paths returns the paths of p and its descendants, sorted, parents first.
func (t Tree) Paths(p Path) []Path {
	if !t.Has(p) {
		return nil
	}
	all := []Path{p}
	k, first, _ := p.split()
	switch k {
	case Root:
		all = append(all, FleetPath)
		all = append(all, mapNames(t.models.names(), ModelPath)...)
		all = append(all, mapNames(t.services.names(), ServicePath)...)
		all = append(all, mapNames(t.operators.names(), OperatorPath)...)
		for _, n := range t.workspaces.names() {
			all = append(all, t.Paths(WorkspacePath(n))...)
		}
	case Workspace:
		w, _ := t.workspaces.get(first)
		all = append(all, mapNames(slices.Sorted(maps.Keys(w.models)), p.WithModel)...)
		all = append(all, mapNames(slices.Sorted(maps.Keys(w.services)), p.WithService)...)
	}
	return all
}

func mapNames(names []string, path func(string) Path) []Path {
	paths := make([]Path, len(names))
	for i, n := range names {
		paths[i] = path(n)
	}
	return paths
}

// siblings returns the names of the siblings of p, for errors that suggest the nearest one.
func (t Tree) siblings(p Path) []string {
	k, first, _ := p.split()
	switch k {
	case Root, Fleet:
		return nil
	case Workspace:
		return t.workspaces.names()
	case WorkspaceModel, WorkspaceService:
		if w, ok := t.workspaces.get(first); ok {
			return slices.Sorted(maps.Keys(w.children(k)))
		}
		return nil
	}
	return t.table(k).names()
}
