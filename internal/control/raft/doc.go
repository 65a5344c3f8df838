// Package raft decides for one replica of a replicated log: elections with
// pre-vote and check-quorum, replication, membership changes, snapshots and
// quorum-confirmed reads.
//
// A Core opens nothing and reads no clock: time arrives as ticks, input as
// typed messages, and what must be persisted, sent or applied is returned as
// Effects.
package raft
