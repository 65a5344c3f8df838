package cell

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"hornbeamwood/internal/cache/block"
)

// Layout maps entries to cells and prompts to their home cells; it is immutable.
type Layout struct {
	cells  []Cell
	seeds  []uint64
	cellOf map[string]int
}

// NewLayout returns the Layout of the given cells. A cell without a name or entries, two cells of
// one name, and an entry in two cells are errors.
func NewLayout(cells []Cell) (Layout, error) {
	l := Layout{cells: cells, cellOf: map[string]int{}}
	names := map[string]bool{}
	for i, c := range cells {
		if c.Name == "" || len(c.Entries) == 0 {
			return Layout{}, fmt.Errorf("cell: cell %d has no name or no entries", i+1)
		}
		if names[c.Name] {
			return Layout{}, fmt.Errorf("cell: two cells are named %q", c.Name)
		}
		names[c.Name] = true
		for _, e := range c.Entries {
			if j, ok := l.cellOf[e]; ok {
				return Layout{}, fmt.Errorf("cell: entry %q is in %q and in %q", e, cells[j].Name, c.Name)
			}
			l.cellOf[e] = i
		}
		l.seeds = append(l.seeds, seed(c.Name))
	}
	return l, nil
}

// seed returns a hash of a name. The hash is cryptographic because callers choose the prompts and
// must not be able to direct them to one cell.
func seed(name string) uint64 {
	d := sha256.Sum256([]byte(name))
	return binary.BigEndian.Uint64(d[:8])
}

// Of returns the cell of an entry, and false if no cell contains it.
func (l Layout) Of(entry string) (Cell, bool) {
	i, ok := l.cellOf[entry]
	if !ok {
		return Cell{}, false
	}
	return l.cells[i], true
}

// Peers returns the other entries of an entry's cell.
func (l Layout) Peers(entry string) []string {
	c, ok := l.Of(entry)
	if !ok {
		return nil
	}
	var all []string
	for _, e := range c.Entries {
		if e != entry {
			all = append(all, e)
		}
	}
	return all
}

// Home returns the home cell of a prompt by the key of its first piece, which includes the
// workspace.
//
// It uses rendezvous hashing, so that adding or removing a cell moves only the prompts of that
// cell.
func (l Layout) Home(first block.Key) Cell {
	best, score := 0, uint64(0)
	head := binary.BigEndian.Uint64(first[:8])
	for i, s := range l.seeds {
		if x := mix64(s ^ head); i == 0 || x > score {
			best, score = i, x
		}
	}
	if len(l.cells) == 0 {
		return Cell{}
	}
	return l.cells[best]
}

// Entry returns the entry of the cell to which a prompt is handed over; skip reports the entries
// that do not respond. The same prompt goes to the same entry as long as all entries respond.
func (c Cell) Entry(first block.Key, skip func(entry string) bool) (string, bool) {
	best, score, found := "", uint64(0), false
	head := binary.BigEndian.Uint64(first[8:16])
	for _, e := range c.Entries {
		if skip(e) {
			continue
		}
		if x := mix64(seed(e) ^ head); !found || x > score {
			best, score, found = e, x, true
		}
	}
	return best, found
}

// mix64 is the 64-bit finalizer of MurmurHash3, which spreads the bits of x evenly.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
