// Package lease is the section of the control log that grants named leases
// with fencing numbers.
//
// Fencing numbers strictly increase over all leases, restarts and snapshots.
// A holder counts its lease by its own monotonic clock from before it asked;
// the log's clock only decides when another may take over.
package lease
