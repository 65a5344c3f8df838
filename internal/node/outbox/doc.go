// Package outbox sends messages to several peers, each by a goroutine of its
// own, so that one peer that does not answer holds up no other.
package outbox
