// Package site tests the decisions of many entries of a site under load, in virtual time.
//
// The entries use the packages that serve callers. What they know of each other is as old as on
// a site of their size.
package site
