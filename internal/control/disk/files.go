package disk

import "io"

// File is a file that is only written at its end.
type File interface {
	// Write appends b.
	Write(b []byte) (int, error)
	// Sync returns when everything written is on the device.
	Sync() error
	// Close releases the file without syncing.
	Close() error
}

// Files is one flat folder.
type Files interface {
	// Create returns a new file; a name that exists is an error.
	Create(name string) (File, error)
	// Read returns the whole content of the named file; a missing one is fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// List returns the names of all files in lexical order.
	List() ([]string, error)
	// Rename replaces newName by oldName.
	Rename(oldName, newName string) error
	// Remove deletes the named file.
	Remove(name string) error
	// Truncate cuts the named file to size bytes and syncs it.
	Truncate(name string, size int64) error
	// Sync returns when all names are on the device.
	Sync() error
	// Lock holds the named file against other live processes until it is closed.
	Lock(name string) (io.Closer, error)
	// Free returns how many bytes can still be written.
	Free() (uint64, error)
	// Path returns what an operator knows the named file by.
	Path(name string) string
}
