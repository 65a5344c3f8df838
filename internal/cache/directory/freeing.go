package directory

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"
)

// freeing holds the pieces that are to be deleted once their pins are gone.
type freeing struct {
	mu      sync.Mutex
	waiting map[pinned]Deletion
}

func (f *freeing) add(k pinned, n Deletion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting[k] = n
}

func (f *freeing) remove(k pinned, generation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, ok := f.waiting[k]; ok && n.Generation <= generation {
		delete(f.waiting, k)
	}
}

// forget drops what waits at the peer of an index.
func (f *freeing) forget(index uint16) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.waiting, func(k pinned, _ Deletion) bool { return k.peer == index })
}

// Deletable implements Directory.
func (d *directory) Deletable(now time.Time) []Deletion {
	d.freed.mu.Lock()
	defer d.freed.mu.Unlock()
	var all []Deletion
	for k, n := range d.freed.waiting {
		if !d.pins.pinned(now, k, n.Generation) {
			all = append(all, n)
		}
	}
	slices.SortFunc(all, func(a, b Deletion) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return all
}
