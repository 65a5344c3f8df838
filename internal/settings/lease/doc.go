// Package lease implements the settings lease: it decides when an entry may
// accept new work under its settings, and when a revision is in force everywhere.
//
// An entry reports the revision that it has applied to the control leader and
// requests the newest one. The leader records the report, has a quorum confirm
// its leadership, and only then reads the newest revision. If the entry has
// applied that revision, it may accept new work for the duration of the settings
// lease, measured from before it sent the report. The leader measures the same
// lease from the time at which it recorded the report. Both allow for clocks that
// are up to one part in MarginShare too fast or too slow.
//
// For an edit that is accepted after the report was recorded, the leader counts
// the entry among those that may still serve under the older revision. An edit
// that was accepted before is in the answer to the entry, which then gets no lease.
package lease
