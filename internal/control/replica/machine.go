package replica

// Machine is the state machine to which the log's commands are applied.
//
// Apply, Restore and Snapshot are called from one goroutine.
type Machine interface {
	// Apply applies the committed command at index and returns its result.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the state after the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(snapshot []byte) error
}
