package state

import "time"

// Section is one part of the replicated state.
//
// Apply must be deterministic: its result may depend only on the section's
// state, at and command. Apply and Restore are never called concurrently. Query
// and Snapshot may run concurrently with them, so a section must lock its state.
type Section interface {
	// Name returns the kebab-case name of the section in commands and queries.
	Name() string
	// Apply applies a committed command and returns its result; at never decreases.
	Apply(at time.Time, command []byte) []byte
	// Check returns an error if the command is malformed. It doesn't depend on the state.
	Check(command []byte) error
	// Query answers a query from the current state.
	Query(query []byte) ([]byte, error)
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot.
	Restore(snapshot []byte) error
}
