package tree

import "maps"

// workspaceBranch is a workspace with its child branches; immutable.
type workspaceBranch struct {
	values   values
	models   map[string]values
	services map[string]values
}

func (w *workspaceBranch) children(k Kind) map[string]values {
	if k == WorkspaceModel {
		return w.models
	}
	return w.services
}

func (w *workspaceBranch) withValues(v values) *workspaceBranch {
	return &workspaceBranch{values: v, models: w.models, services: w.services}
}

// withChild returns a copy in which the child branch name of kind k has the values v, or is removed if v is nil.
func (w *workspaceBranch) withChild(k Kind, name string, v values) *workspaceBranch {
	c := *w
	m := maps.Clone(w.children(k))
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
