package replica

// Machine is the state that the log's commands build.
//
// Apply and Restore are called from one goroutine; Snapshot too.
type Machine interface {
	// Apply carries out the committed command at index and returns its result.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the state after the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(snapshot []byte) error
}
