// Package membership decides what this entry knows of the backend servers.
//
// Announcements come from the servers themselves and, by gossip, from other
// entries of the cell. Each carries an upper bound of its age, so that an
// entry that is cut off stops giving work to a server that may be leaving.
// Ages are differences of one monotonic clock; clocks of two VMs are never
// compared. The package opens no socket and reads no clock.
package membership
