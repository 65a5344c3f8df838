// Package outbox sends messages to several peers with one goroutine per peer, so
// that an unresponsive peer does not delay messages to the others.
package outbox
