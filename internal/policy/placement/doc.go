// Package placement decides which cache pieces are written to stores after a
// run, to which store and tier, and what is forgotten when a machine is lost.
//
// A piece is written when the work that its return is expected to save is
// worth more than the link time for the export and the later import.
package placement
