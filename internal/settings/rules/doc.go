// Package rules defines the typed, immutable effective settings that entries apply.
//
// A Snapshot is built from the settings tree after inheritance and validation.
// The comment of a field names the packages that read it.
package rules
