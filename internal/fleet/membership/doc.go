// Package membership keeps an entry's table of the backend servers of its cell.
//
// Announcements come from the servers directly and, by gossip, from other
// entries of the cell. Each has an upper bound of its age, so that an entry
// that is partitioned stops sending requests to a server that may be leaving.
// Ages are differences of one monotonic clock; clocks of two VMs are never
// compared. The package opens no socket and reads no clock.
package membership
