// Package disk stores a replica's durable state in one data folder: its
// identity, the founding configuration, the log in segments, and snapshots.
//
// Data counts as stored only after the file and, for a new name, the folder
// were synced. After a failed write or sync the store writes nothing more: the
// content of the device is unknown then, and a second sync may report success
// for pages that were dropped.
package disk
