package directory

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamwood/internal/cache/block"
)

// Ring maps keys to the nodes of a cell by rendezvous hashing; it is immutable.
//
// If a node is added or removed, only the keys that it holds move.
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

// Holders returns the indexes in Nodes of the two holders of a key. They are equal if there is one node, and -1 if there is none.
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

// mix distributes the bits of x evenly. Keys are digests, so a client can't choose them to collide.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
