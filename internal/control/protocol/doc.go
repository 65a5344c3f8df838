// Package protocol names the calls that processes make to replicas of the
// control log, with their messages.
package protocol
