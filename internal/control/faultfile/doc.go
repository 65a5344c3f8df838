// Package faultfile is a data folder in memory that loses what was not synced
// when it crashes, tears writes and fails on demand, for the tests of the
// packages that keep files.
package faultfile
