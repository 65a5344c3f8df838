// Package quic connects a replica of the control log to the other processes:
// it carries the replicas' messages, and answers proposals and reads of
// entries, passing them on to the leader where needed.
package quic
