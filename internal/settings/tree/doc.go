// Package tree holds the settings tree: branches whose values the branches
// below them inherit, the schema of all settings, validation of the whole
// effective tree, and the build of the rules that entries serve under.
//
// A Tree is immutable; an edit shares all branches that it does not touch.
package tree
