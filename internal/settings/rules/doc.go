// Package rules holds the effective settings, typed and immutable, that entries serve under.
//
// A Snapshot is built from the settings tree after inheritance and
// validation; every field is read by the code that its comment names.
package rules
