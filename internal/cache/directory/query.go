package directory

import "hornbeamwood/internal/cache/block"

// Query is a lookup of one prompt's keys, split by holder.
type Query struct {
	keys  []block.Key
	parts []Part
}

// Part is the part of a Query for one node.
type Part struct {
	// To is the node's identity.
	To string
	// Lookup holds the keys.
	Lookup  Lookup
	indexes []int
}

// Query returns the lookup of keys. If skip returns true for the first holder of a key, the second one is used.
func (r Ring) Query(keys []block.Key, skip func(node string) bool) Query {
	q := Query{keys: keys}
	at := map[int]int{}
	for i, k := range keys {
		n, ok := r.pick(k, skip)
		if !ok {
			continue
		}
		p, known := at[n]
		if !known {
			p = len(q.parts)
			at[n] = p
			q.parts = append(q.parts, Part{To: r.nodes[n]})
		}
		q.parts[p].Lookup.Keys = append(q.parts[p].Lookup.Keys, k)
		q.parts[p].indexes = append(q.parts[p].indexes, i)
	}
	return q
}

func (r Ring) pick(k block.Key, skip func(node string) bool) (int, bool) {
	first, second := r.Holders(k)
	for _, n := range [...]int{first, second} {
		if n >= 0 && !skip(r.nodes[n]) {
			return n, true
		}
	}
	return -1, false
}

// Parts returns one Part for each node to be queried.
func (q Query) Parts() []Part {
	return q.parts
}

// Join merges the answers to Parts, given in the same order, into the locations of all keys; the keys of a missing or short answer get no locations.
func (q Query) Join(answers []Locations) Locations {
	all := make(Locations, len(q.keys))
	for i, p := range q.parts {
		if i >= len(answers) || len(answers[i]) != len(p.indexes) {
			continue
		}
		for j, at := range p.indexes {
			all[at] = answers[i][j]
		}
	}
	return all
}
