package tree

// Branch is one branch with the values that it sets itself.
type Branch struct {
	// Path names the branch.
	Path Path `cbor:"path"`
	// Values are sorted by key.
	Values []Assignment `cbor:"values,omitempty"`
}

// Assignment is one key with its value.
type Assignment struct {
	// Key names the setting.
	Key string `cbor:"key"`
	// Value is the setting's value.
	Value Value `cbor:"value"`
}

// Branches returns branch p and those below it, parents first and sorted.
func (t Tree) Branches(p Path) []Branch {
	paths := t.Paths(p)
	all := make([]Branch, len(paths))
	for i, q := range paths {
		own, _ := t.at(q)
		all[i] = Branch{Path: q, Values: own.assignments()}
	}
	return all
}

// FromBranches returns the tree that Branches of its root gave.
func FromBranches(branches []Branch) (Tree, error) {
	t, _, err := Tree{}.Apply([]Change{{Action: Replace, Path: RootPath, Branches: branches}})
	return t, err
}
