// Package orders decides which engine is told to load which weights.
//
// The controller compares the settings with what the engines announce and
// gives orders under a lease with a fencing number. It keeps no state that
// must survive: what was ordered is read back from the engines.
package orders
