// Package orders decides which engine loads which weights.
//
// The controller compares the settings with the engines' announcements and
// sends orders under a lease with a fencing number. It has no durable state:
// the state of its orders is read back from the engines.
package orders
