package tree

import "maps"

// workspaceBranch is one workspace with the branches below it; never changed after it was made.
type workspaceBranch struct {
	values   values
	models   map[string]values
	services map[string]values
}

func (w *workspaceBranch) below(k Kind) map[string]values {
	if k == WorkspaceModel {
		return w.models
	}
	return w.services
}

func (w *workspaceBranch) withValues(v values) *workspaceBranch {
	return &workspaceBranch{values: v, models: w.models, services: w.services}
}

// withBelow returns a copy in which the branch name of kind k has v, or is gone when v is nil.
func (w *workspaceBranch) withBelow(k Kind, name string, v values) *workspaceBranch {
	c := *w
	m := maps.Clone(w.below(k))
	if m == nil {
		m = map[string]values{}
	}
	m[name] = v
	if v == nil {
		delete(m, name)
	}
	if k == WorkspaceModel {
		c.models = m
	} else {
		c.services = m
	}
	return &c
}
