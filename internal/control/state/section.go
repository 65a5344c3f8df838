package state

import "time"

// Section is one part of the replicated state.
//
// Apply must be deterministic: it depends on the section's state, at and
// command only. Apply and Restore are never called at the same time as each
// other; Query and Snapshot may run beside them, so a section locks its shards.
type Section interface {
	// Name returns the kebab-case name that commands and queries carry.
	Name() string
	// Apply carries out a committed command and returns its result; at never goes back.
	Apply(at time.Time, command []byte) []byte
	// Query answers from the state as it is.
	Query(query []byte) ([]byte, error)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}
