package cell

import (
	"sync"
	"time"
)

// Digests holds the newest digest of each other cell.
//
// A digest is fetched by asking, and its age counts from when it was asked
// for; it says nothing of leaving servers, which only the home cell decides on.
type Digests interface {
	// Learn takes in a digest that was asked for at the given time, unless a later one is known.
	Learn(asked time.Time, d Digest)
	// Get returns the newest digest of a cell with its age, and false when there is none.
	Get(now time.Time, cell string) (Digest, time.Duration, bool)
}

type aged struct {
	digest Digest
	asked  time.Time
}

type digests struct {
	mu  sync.RWMutex
	all map[string]aged
}

// maxCells bounds the digests that are kept.
const maxCells = 256

// NewDigests returns empty Digests.
func NewDigests() Digests {
	return &digests{all: map[string]aged{}}
}

// Learn implements Digests.
func (d *digests) Learn(asked time.Time, x Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.all[x.Cell]
	if (ok && !asked.After(known.asked)) || (!ok && len(d.all) >= maxCells) {
		return
	}
	d.all[x.Cell] = aged{digest: x, asked: asked}
}

// Get implements Digests.
func (d *digests) Get(now time.Time, cell string) (Digest, time.Duration, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	a, ok := d.all[cell]
	return a.digest, now.Sub(a.asked), ok
}
