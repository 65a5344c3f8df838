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

var errLocked = errors.New("faultfile: the folder is locked")

// Folder is an in-memory disk.Files.
type Folder struct {
	mu sync.Mutex
	// names are the current files, and durable are the files that survive a crash.
	names, durable map[string]*inode
	// pending are the changes to names since the last sync, in order.
	pending []func(map[string]*inode)
	fault   Fault
	locked  bool
	free    uint64
}

// defaultFree is the free space of a new Folder in bytes.
const defaultFree = 1 << 40

// New returns an empty Folder.
func New() *Folder {
	return &Folder{names: map[string]*inode{}, durable: map[string]*inode{}, free: defaultFree}
}

// SetFault sets the fault for all later operations; nil lets all of them succeed.
func (f *Folder) SetFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// Kill ends the process that uses the folder: its files stay as they were, also what isn't synced.
func (f *Folder) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.locked = false
	f.fault = nil
}

// Crash drops all unsynced data. If random is not nil, a random part is kept: each
// change to names and each write since the last sync independently of the others,
// and some sectors of a torn write.
func (f *Folder) Crash(random *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range f.pending {
		if random != nil && random.IntN(2) == 0 {
			change(f.durable)
		}
	}
	f.pending = nil
	f.names = maps.Clone(f.durable)
	for _, name := range slices.Sorted(maps.Keys(f.names)) {
		f.names[name].crash(random)
	}
	f.locked = false
	f.fault = nil
}

// Flip flips one bit of a file, like a failing disk.
func (f *Folder) Flip(name string, offset int, bit uint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[name]
	n.content[offset] ^= 1 << bit
	n.sync()
}

// Zero overwrites the bytes from start to end of a file with zeros.
func (f *Folder) Zero(name string, start, end int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[name]
	clear(n.content[start:end])
	n.sync()
}

// Cut truncates a file to size bytes.
func (f *Folder) Cut(name string, size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[name]
	n.content = n.content[:size]
	n.sync()
}

// Size returns the size of a file in bytes.
func (f *Folder) Size(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.names[name].content)
}

// check returns the error that the fault injects into an operation. The caller holds f.mu.
func (f *Folder) check(o Operation, name string) error {
	if f.fault == nil {
		return nil
	}
	return f.fault(o, name)
}

// change applies a change to names, which a crash may lose until the folder is synced.
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
	n := f.names[oldName]
	f.change(func(names map[string]*inode) {
		names[newName] = n
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

// SetFree sets the value that Free returns.
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

// Close unlocks the folder.
func (u unlocker) Close() error {
	u.folder.mu.Lock()
	defer u.folder.mu.Unlock()
	u.folder.locked = false
	return nil
}
