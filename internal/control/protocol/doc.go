// Package protocol defines the RPCs of the replicas of the control log and their
// messages.
package protocol
