package directory

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamwood/internal/cache/block"
)

// Ring tells which nodes of a cell hold a key, by rendezvous hashing; it is never changed after it was built.
//
// When a node comes or goes only the keys move that it holds.
type Ring struct {
	nodes []string
	seeds []uint64
}

// NewRing returns a Ring over the nodes of a cell; the order of the nodes does not matter.
func NewRing(nodes []string) Ring {
	n := slices.Compact(slices.Sorted(slices.Values(nodes)))
	r := Ring{nodes: n, seeds: make([]uint64, len(n))}
	for i, name := range n {
		r.seeds[i] = xxhash.Sum64String(name)
	}
	return r
}

// Nodes returns the nodes in order; the caller must not change them.
func (r Ring) Nodes() []string {
	return r.nodes
}

// Holders returns the indexes in Nodes of the two holders of a key; they are equal with one node and -1 without nodes.
func (r Ring) Holders(k block.Key) (first, second int) {
	first, second = -1, -1
	var best, next uint64
	head := binary.BigEndian.Uint64(k[:8])
	for i, seed := range r.seeds {
		score := mix(seed ^ head)
		switch {
		case first < 0 || score > best:
			second, next = first, best
			first, best = i, score
		case second < 0 || score > next:
			second, next = i, score
		}
	}
	if second < 0 {
		second = first
	}
	return first, second
}

// mix spreads the bits of x evenly; keys are digests, so that nobody can choose them.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
