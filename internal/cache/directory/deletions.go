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

func (d *deletions) add(k pinKey, n Deletion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending[k] = n
}

func (d *deletions) remove(k pinKey, generation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n, ok := d.pending[k]; ok && n.Generation <= generation {
		delete(d.pending, k)
	}
}

// forget drops the deletions of the peer with the given index.
func (d *deletions) forget(index uint16) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.pending, func(k pinKey, _ Deletion) bool { return k.peer == index })
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
