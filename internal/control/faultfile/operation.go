package faultfile

// Operation is an operation that can fail.
type Operation uint8

const (
	// Create creates a file.
	Create Operation = iota
	// Write appends bytes to a file.
	Write
	// Sync syncs a file.
	Sync
	// SyncFolder syncs the folder's names.
	SyncFolder
	// Rename renames a file.
	Rename
	// Remove deletes a file.
	Remove
)

// Fault returns the error of an operation on the named file, or nil to let it succeed.
type Fault func(o Operation, name string) error
