package directory

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"
)

// deletions holds the pieces to be deleted once they have no pins.
type deletions struct {
	mu      sync.Mutex
	pending map[pinKey]Deletion
}

func (f *deletions) add(k pinKey, n Deletion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending[k] = n
}

func (f *deletions) remove(k pinKey, generation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, ok := f.pending[k]; ok && n.Generation <= generation {
		delete(f.pending, k)
	}
}

// forget drops the deletions of the peer with the given index.
func (f *deletions) forget(index uint16) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.pending, func(k pinKey, _ Deletion) bool { return k.peer == index })
}

// Deletable implements Directory.
func (d *directory) Deletable(now time.Time) []Deletion {
	d.deletions.mu.Lock()
	defer d.deletions.mu.Unlock()
	var all []Deletion
	for k, n := range d.deletions.pending {
		if !d.pins.pinned(now, k, n.Generation) {
			all = append(all, n)
		}
	}
	slices.SortFunc(all, func(a, b Deletion) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return all
}
