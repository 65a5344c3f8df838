// Package lease implements the section of the control log that grants named
// leases with fencing numbers.
//
// Fencing numbers strictly increase across all leases, restarts and snapshots.
// A holder measures its lease by its own monotonic clock, from before it sent the
// request. The log's clock only determines when another holder may acquire the
// lease.
package lease
