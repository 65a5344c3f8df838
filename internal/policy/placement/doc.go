// Package placement decides which cache pieces are exported to stores after a
// run, to which store and tier, and what state is discarded when a machine is
// lost.
//
// A piece is exported if the work that its expected reuse saves is worth more
// than the link time for the export and the later import.
package placement
