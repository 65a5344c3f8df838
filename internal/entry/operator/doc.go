// Package operator implements the HTTP interface for operators: it serves the
// settings tree, its history and its effective values, and accepts edits.
package operator
