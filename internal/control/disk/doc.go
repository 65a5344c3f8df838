// Package disk keeps what a replica must not lose in one data folder: its
// identity, the founding configuration, the log in segments, and snapshots.
//
// Nothing counts as kept before the file and, for a new name, the folder are
// synced. After a failed write or sync nothing more is written: what the
// device holds is then unknown, and a second sync may report success for
// pages that were dropped.
package disk
