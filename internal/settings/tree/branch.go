package tree

// Branch is a branch with its own values, without inherited ones.
type Branch struct {
	// Path identifies the branch.
	Path Path `cbor:"path"`
	// Values are sorted by key.
	Values []Assignment `cbor:"values,omitempty"`
}

// Assignment is a key with its value.
type Assignment struct {
	// Key is the name of the setting.
	Key string `cbor:"key"`
	// Value is the setting's value.
	Value Value `cbor:"value"`
}

// Branches returns branch p and its descendants, sorted, parents first.
func (t Tree) Branches(p Path) []Branch {
	paths := t.Paths(p)
	all := make([]Branch, len(paths))
	for i, q := range paths {
		own, _ := t.at(q)
		all[i] = Branch{Path: q, Values: own.assignments()}
	}
	return all
}

// FromBranches returns the tree made of branches, as returned by Branches for the root.
func FromBranches(branches []Branch) (Tree, error) {
	t, _, err := Tree{}.Apply([]Change{{Action: Replace, Path: RootPath, Branches: branches}})
	return t, err
}
