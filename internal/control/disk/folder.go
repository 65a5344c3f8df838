package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// Permissions of the data folder. Only the owner may read it, because the log contains digests of keys and callers' outcomes.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

type folder struct {
	path string
}

// NewFolder returns the Files of the folder at path and creates the folder if it is missing.
func NewFolder(path string) (Files, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("disk: data folder: %w", err)
	}
	if err := syncFolder(filepath.Dir(path)); err != nil {
		return nil, fmt.Errorf("disk: folder of the data folder: %w", err)
	}
	return folder{path: path}, nil
}

// Path implements Files.
func (f folder) Path(name string) string {
	return filepath.Join(f.path, name)
}

// Create implements Files.
func (f folder) Create(name string) (File, error) {
	return os.OpenFile(f.Path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
}

// Read implements Files.
func (f folder) Read(name string) ([]byte, error) {
	return os.ReadFile(f.Path(name))
}

// List implements Files.
func (f folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	slices.Sort(names)
	return names, nil
}

// Rename implements Files.
func (f folder) Rename(oldName, newName string) error {
	return os.Rename(f.Path(oldName), f.Path(newName))
}

// Remove implements Files.
func (f folder) Remove(name string) error {
	return os.Remove(f.Path(name))
}

// Sync implements Files.
func (f folder) Sync() error {
	return syncFolder(f.path)
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Free implements Files.
func (f folder) Free() (uint64, error) {
	var s syscall.Statfs_t
	if err := syscall.Statfs(f.path, &s); err != nil {
		return 0, err
	}
	return s.Bavail * uint64(s.Bsize), nil
}

// Lock implements Files.
func (f folder) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(f.Path(name), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("disk: %s is in use by another process: %w", f.path, err), file.Close())
	}
	return file, nil
}
