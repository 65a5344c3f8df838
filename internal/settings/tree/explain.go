package tree

// Explained is one effective value and where it comes from.
type Explained struct {
	// Setting is the row of the schema.
	Setting Setting
	// Value is the effective value.
	Value Value
	// From is the branch that sets it, empty for the default.
	From Path
}

// Effective returns the value under key at branch p with the branch that it comes from.
func (t Tree) Effective(p Path, s Setting) Explained {
	for q, ok := p, true; ok; q, ok = q.Parent() {
		if v, set := t.Value(q, s.Name); set && s.allowed(q.Kind()) {
			return Explained{Setting: s, Value: v, From: q}
		}
	}
	return Explained{Setting: s, Value: s.Default}
}

// Explain returns all effective values at branch p; a workspace's branch for
// a model or service also shows those of the model or service itself.
func (t Tree) Explain(p Path) []Explained {
	var all []Explained
	k, _, second := p.split()
	for _, s := range schema {
		if s.allowed(k) {
			all = append(all, t.Effective(p, s))
		}
	}
	switch k {
	case WorkspaceModel:
		all = append(all, t.Explain(ModelPath(second))...)
	case WorkspaceService:
		all = append(all, t.Explain(ServicePath(second))...)
	}
	return all
}
