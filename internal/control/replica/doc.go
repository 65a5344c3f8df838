// Package replica runs one replica of the control log: it forms or joins the
// group, keeps the log on disk, exchanges messages with the other replicas and
// applies committed commands to a state machine.
package replica
