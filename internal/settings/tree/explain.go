package tree

// Explained is an effective value with its origin.
type Explained struct {
	// Setting is the setting's schema entry.
	Setting Setting
	// Value is the effective value.
	Value Value
	// From is the branch that sets the value, empty for the default.
	From Path
}

// Effective returns the effective value of s at branch p and the branch that sets it.
func (t Tree) Effective(p Path, s Setting) Explained {
	for q, ok := p, true; ok; q, ok = q.Parent() {
		if v, set := t.Value(q, s.Name); set && s.allowed(q.Kind()) {
			return Explained{Setting: s, Value: v, From: q}
		}
	}
	return Explained{Setting: s, Value: s.Default}
}

// Explain returns all effective values at branch p. For a workspace's branch of
// a model or service it also returns those of the model or service itself.
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
