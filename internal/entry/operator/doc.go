// Package operator speaks HTTP with operators: it shows the settings tree, its
// history and its effective values, and takes edits of it.
package operator
