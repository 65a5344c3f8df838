package disk

import "io"

// File is an append-only file.
type File interface {
	// Write appends b.
	Write(b []byte) (int, error)
	// Sync returns after everything written is on the device.
	Sync() error
	// Close closes the file without syncing it.
	Close() error
}

// Files is one folder without subfolders.
type Files interface {
	// Create returns a new file; it fails if the name exists.
	Create(name string) (File, error)
	// Read returns the complete content of the named file. The error of a missing file is fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// List returns the names of all files in lexical order.
	List() ([]string, error)
	// Rename renames oldName to newName and replaces an existing newName.
	Rename(oldName, newName string) error
	// Remove deletes the named file.
	Remove(name string) error
	// Sync returns after all names are on the device.
	Sync() error
	// Lock locks the named file against other processes until the Closer is closed.
	Lock(name string) (io.Closer, error)
	// Free returns the free space in bytes.
	Free() (uint64, error)
	// Path returns the path of the named file for error messages.
	Path(name string) string
}
