// Package quic connects a replica of the control log to the other processes.
// It sends and receives the replicas' messages, and serves the proposals and
// reads of entries, which it forwards to the leader if necessary.
package quic
