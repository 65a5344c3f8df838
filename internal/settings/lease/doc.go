// Package lease decides when an entry may take new work under its settings,
// and when a revision is in force everywhere.
//
// An entry tells the control leader which revision it has applied and asks for
// the newest one. The leader notes that, has a quorum confirm that it leads,
// and only then looks what the newest revision is. If that is the one the
// entry has applied, the entry may take new work for the settings lease,
// counted from before it asked; the leader counts the same lease from when it
// noted it. Both allow for a clock that is up to one part in MarginShare too
// fast or too slow.
//
// An edit that is accepted after the leader's note counts the entry among
// those that may still serve under the older revision; one that was accepted
// before it is seen by the entry, which then gets no lease.
package lease
