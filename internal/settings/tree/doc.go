// Package tree implements the settings tree, in which each branch inherits the
// values of its parent. It contains the schema of all settings, validates the
// whole effective tree and builds the rules that entries apply.
//
// A Tree is immutable. The result of an edit shares all branches that the edit
// does not change.
package tree
