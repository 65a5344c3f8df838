package tree

import (
	"fmt"
	"maps"
	"slices"

	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/rules"
	"hornbeamwood/internal/settings/tomlfile"
)

// validator collects the problems of the whole effective tree.
type validator struct {
	tree     Tree
	snapshot rules.Snapshot
	keys     map[digest.Digest]Path
	problems tomlfile.Problems
}

// Validate returns the problems of the whole effective tree, including those caused by inherited values.
func (t Tree) Validate() tomlfile.Problems {
	v := &validator{tree: t, snapshot: t.Build(0), keys: map[digest.Digest]Path{}}
	v.checkKeyDigests(FleetPath, "announce-key-digests")
	for _, n := range t.operators.names() {
		v.operator(n)
	}
	for _, n := range t.models.names() {
		v.model(n)
	}
	for _, n := range t.workspaces.names() {
		v.workspace(n)
	}
	return v.problems
}

func (v *validator) add(p Path, key, format string, args ...any) {
	v.problems = append(v.problems, tomlfile.Problem{Key: Label(p, key), Message: fmt.Sprintf(format, args...)})
}

// describe returns a description of an effective value and the branch that sets it.
func (v *validator) describe(p Path, key string) string {
	e := v.tree.Effective(p, byName[key])
	if e.From == "" {
		return fmt.Sprintf("%s %s (default)", key, e.Value)
	}
	return fmt.Sprintf("%s %s (from %s)", key, e.Value, e.From)
}

// checkKeyDigests rejects a key digest that two branches have: a caller with that
// key could be identified as either workspace.
func (v *validator) checkKeyDigests(p Path, key string) {
	x, _ := v.tree.Value(p, key)
	for _, d := range x.Digests {
		if other, ok := v.keys[d]; ok {
			v.add(p, key, "%s is already a key digest of %s", d, other)
			continue
		}
		v.keys[d] = p
	}
}

func (v *validator) operator(name string) {
	p := OperatorPath(name)
	if len(v.snapshot.Operators[name]) == 0 {
		v.add(p, "key-digests", "an operator has at least one key")
	}
	v.checkKeyDigests(p, "key-digests")
}

func (v *validator) model(name string) {
	p := ModelPath(name)
	m := v.snapshot.Models[name]
	if m.WeightVersion == "" {
		v.add(p, "weight-version", "is required")
	}
	if m.PieceTokens > m.ContextTokens {
		v.add(p, "piece-tokens", "%s is above %s", v.describe(p, "piece-tokens"), v.describe(p, "context-tokens"))
	}
}

func (v *validator) workspace(name string) {
	p := WorkspacePath(name)
	v.checkKeyDigests(p, "key-digests")
	w := v.snapshot.Workspaces[name]
	for _, n := range sortedNames(w.Models) {
		if _, ok := v.snapshot.Models[n]; !ok {
			v.add(p.WithModel(n), "", "there is no model %s", withNearest(n, v.tree.models.names()))
		}
	}
	for _, n := range sortedNames(w.Services) {
		v.service(p.WithService(n), n, w)
	}
}

// service rejects rules under which the ledger could drop the outcome of a
// non-idempotent call while its caller still waits or resends it.
func (v *validator) service(p Path, name string, w rules.Workspace) {
	if _, ok := v.snapshot.Services[name]; !ok {
		v.add(p, "", "there is no service %s", withNearest(name, v.tree.services.names()))
		return
	}
	r := w.Services[name]
	if !r.NonIdempotent {
		return
	}
	if w.Region == "" {
		v.add(p, "", "the service is non-idempotent, and %s says nowhere in which region its calls are claimed: region is required", WorkspacePath(w.Name))
	}
	if r.Deadline > r.LedgerKeep {
		v.add(p, "deadline", "%s is above %s", v.describe(p, "deadline"), v.describe(ServicePath(name), "ledger-keep"))
	}
}

func withNearest(name string, known []string) string {
	if n, ok := tomlfile.Nearest(name, known); ok {
		return fmt.Sprintf("%s; the nearest one is %s", name, n)
	}
	return name
}

func sortedNames(m map[string]rules.Rules) []string {
	return slices.Sorted(maps.Keys(m))
}
