package follower

import (
	"hornbeamwood/internal/settings/rules"
	"hornbeamwood/internal/settings/tree"
)

// View is a tree with the rules that were built from it; immutable.
type View struct {
	// Tree is the settings tree.
	Tree tree.Tree
	// Rules are the effective settings at the revision of the tree.
	Rules *rules.Snapshot
}

// Revision returns the revision of the tree.
func (v View) Revision() uint64 {
	return v.Rules.Revision
}
