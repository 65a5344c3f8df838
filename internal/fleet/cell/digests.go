package cell

import (
	"sync"
	"time"
)

// Digests holds the newest digest of each other cell.
//
// Digests are fetched on request, and the age of a digest counts from when it was requested. A
// digest does not include leaving servers; only the home cell handles those.
type Digests interface {
	// Update stores a digest that was requested at the given time, unless a newer one is known.
	Update(requested time.Time, d Digest)
	// Get returns the newest digest of a cell and its age, and false if there is none.
	Get(now time.Time, cell string) (Digest, time.Duration, bool)
}

type agedDigest struct {
	digest    Digest
	requested time.Time
}

type digests struct {
	mu  sync.RWMutex
	all map[string]agedDigest
}

// maxCells bounds the number of stored digests.
const maxCells = 256

// NewDigests returns empty Digests.
func NewDigests() Digests {
	return &digests{all: map[string]agedDigest{}}
}

// Update implements Digests.
func (d *digests) Update(requested time.Time, x Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.all[x.Cell]
	if (ok && !requested.After(known.requested)) || (!ok && len(d.all) >= maxCells) {
		return
	}
	d.all[x.Cell] = agedDigest{digest: x, requested: requested}
}

// Get implements Digests.
func (d *digests) Get(now time.Time, cell string) (Digest, time.Duration, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	a, ok := d.all[cell]
	return a.digest, now.Sub(a.requested), ok
}
