package faultfile

// Operation is what a fault can hit.
type Operation uint8

const (
	// Create makes a new file.
	Create Operation = iota
	// Write adds bytes to a file.
	Write
	// Sync syncs a file.
	Sync
	// SyncFolder syncs the names.
	SyncFolder
	// Rename renames a file.
	Rename
	// Remove deletes a file.
	Remove
	// Truncate cuts a file.
	Truncate
)

// Fault returns the error with which an operation on the named file fails, nil to let it pass.
type Fault func(o Operation, name string) error
