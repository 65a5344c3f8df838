// Package lease decides when an entry may take new work under its settings,
// and when a revision is in force everywhere.
//
// An entry sends the control leader the revision that it has applied. The
// leader confirms it when that is the newest one, after a quorum has confirmed
// the leader. From the time before it sent, the entry may then take new work
// for the settings lease. The leader counts the same lease from the time after
// it received. Both allow for a clock that is up to one part in MarginShare
// too fast or too slow.
package lease
