// Package replica runs one replica of the control log. It founds or joins the
// group, persists the log, exchanges messages with the other replicas and
// applies committed commands to a state machine.
package replica
