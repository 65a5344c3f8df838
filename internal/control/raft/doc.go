// Package raft implements the Raft consensus algorithm for one replica of a
// replicated log: elections with pre-vote and check-quorum, replication,
// membership changes, snapshots and quorum-confirmed reads.
//
// A Core performs no I/O and reads no clock. Time arrives as ticks and input as
// typed messages. What must be persisted, sent or applied is returned as
// Effects.
package raft
