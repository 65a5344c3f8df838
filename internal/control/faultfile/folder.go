package faultfile

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"hornbeamwood/internal/control/disk"
)

var errLocked = errors.New("faultfile: the folder is in use")

// Folder is a disk.Files in memory.
type Folder struct {
	mu sync.Mutex
	// names are those that a process sees, durable those that survive a crash.
	names, durable map[string]*inode
	// pending are the changes of names since the last sync, in their order.
	pending []func(map[string]*inode)
	fault   Fault
	locked  bool
	free    uint64
}

// plenty is the free space of a new Folder in bytes.
const plenty = 1 << 40

// New returns an empty Folder.
func New() *Folder {
	return &Folder{names: map[string]*inode{}, durable: map[string]*inode{}, free: plenty}
}

// SetFault lets operations fail from now on; nil lets all pass.
func (f *Folder) SetFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// Crash loses what is not synced. With a source of random numbers a part of
// it is kept: a prefix of the changes of names and of each file's new bytes.
func (f *Folder) Crash(random *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	keep := func(limit int) int {
		if random == nil {
			return 0
		}
		return random.IntN(limit + 1)
	}
	for _, change := range f.pending[:keep(len(f.pending))] {
		change(f.durable)
	}
	f.pending = nil
	f.names = maps.Clone(f.durable)
	for _, name := range slices.Sorted(maps.Keys(f.names)) {
		f.names[name].crash(keep)
	}
	f.locked = false
	f.fault = nil
}

// Flip turns one bit of a file over, as a decaying disk does.
func (f *Folder) Flip(name string, offset int, bit uint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[name]
	n.content[offset] ^= 1 << bit
	n.sync()
}

// Cut drops the end of a file.
func (f *Folder) Cut(name string, size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[name]
	n.content = n.content[:size]
	n.sync()
}

// Size returns the length of a file.
func (f *Folder) Size(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.names[name].content)
}

// check returns the fault of an operation; the caller holds the lock.
func (f *Folder) check(o Operation, name string) error {
	if f.fault == nil {
		return nil
	}
	return f.fault(o, name)
}

// change applies a change of names, which a crash may lose until the folder is synced.
func (f *Folder) change(c func(map[string]*inode)) {
	c(f.names)
	f.pending = append(f.pending, c)
}

// Path implements disk.Files.
func (f *Folder) Path(name string) string {
	return "data/" + name
}

// Create implements disk.Files.
func (f *Folder) Create(name string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.check(Create, name); err != nil {
		return nil, err
	}
	if _, ok := f.names[name]; ok {
		return nil, fmt.Errorf("faultfile: %s: %w", name, fs.ErrExist)
	}
	n := &inode{}
	f.change(func(names map[string]*inode) { names[name] = n })
	return &file{folder: f, name: name, inode: n}, nil
}

// Read implements disk.Files.
func (f *Folder) Read(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.names[name]
	if !ok {
		return nil, fmt.Errorf("faultfile: %s: %w", name, fs.ErrNotExist)
	}
	return slices.Clone(n.content), nil
}

// List implements disk.Files.
func (f *Folder) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.names)), nil
}

// Rename implements disk.Files.
func (f *Folder) Rename(oldName, newName string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.check(Rename, newName); err != nil {
		return err
	}
	f.change(func(names map[string]*inode) {
		names[newName] = names[oldName]
		delete(names, oldName)
	})
	return nil
}

// Remove implements disk.Files.
func (f *Folder) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.check(Remove, name); err != nil {
		return err
	}
	f.change(func(names map[string]*inode) { delete(names, name) })
	return nil
}

// Truncate implements disk.Files.
func (f *Folder) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.check(Truncate, name); err != nil {
		return err
	}
	n := f.names[name]
	n.content = n.content[:size]
	n.sync()
	return nil
}

// Sync implements disk.Files.
func (f *Folder) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.check(SyncFolder, ""); err != nil {
		return err
	}
	f.durable = maps.Clone(f.names)
	f.pending = nil
	return nil
}

// SetFree sets what Free returns.
func (f *Folder) SetFree(bytes uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.free = bytes
}

// Free implements disk.Files.
func (f *Folder) Free() (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.free, nil
}

// Lock implements disk.Files.
func (f *Folder) Lock(string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked {
		return nil, errLocked
	}
	f.locked = true
	return unlocker{f}, nil
}

type unlocker struct{ folder *Folder }

// Close releases the folder.
func (u unlocker) Close() error {
	u.folder.mu.Lock()
	defer u.folder.mu.Unlock()
	u.folder.locked = false
	return nil
}
