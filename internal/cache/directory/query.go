package directory

import "hornbeamwood/internal/cache/block"

// Query is a lookup of one prompt's keys, spread over their holders.
type Query struct {
	keys  []block.Key
	parts []Part
}

// Part is the share of a Query that one node answers.
type Part struct {
	// To is the node's identity.
	To string
	// Lookup holds the keys.
	Lookup Lookup
	places []int
}

// Query returns the lookup of keys; a node of which skip says true is passed over for the second holder.
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
		q.parts[p].places = append(q.parts[p].places, i)
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

// Parts returns one Part for each node that has to be asked.
func (q Query) Parts() []Part {
	return q.parts
}

// Join returns the locations of all keys from the answers to Parts, in the same order; a missing or short answer leaves its keys without locations.
func (q Query) Join(answers []Locations) Locations {
	all := make(Locations, len(q.keys))
	for i, p := range q.parts {
		if i >= len(answers) || len(answers[i]) != len(p.places) {
			continue
		}
		for j, at := range p.places {
			all[at] = answers[i][j]
		}
	}
	return all
}
