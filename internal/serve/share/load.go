package share

import (
	"maps"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Load is what one or all entries have at an engine.
type Load struct {
	// Loads travel without the names of their fields: a sum has one for each engine.
	_ struct{} `cbor:",toarray"`
	// InFlight counts requests.
	InFlight int
	// PrefillTokens is how many prompt tokens wait for the first event of their request.
	PrefillTokens int
	// ReservedTokens is how many tokens the requests hold at most.
	ReservedTokens int
	// RefusedEntries is how many entries had a connection refused there lately.
	RefusedEntries int
}

// Plus returns the sum.
func (l Load) Plus(o Load) Load {
	return Load{InFlight: l.InFlight + o.InFlight, PrefillTokens: l.PrefillTokens + o.PrefillTokens, ReservedTokens: l.ReservedTokens + o.ReservedTokens, RefusedEntries: l.RefusedEntries + o.RefusedEntries}
}

// Minus returns the difference, nothing less than zero.
func (l Load) Minus(o Load) Load {
	return Load{InFlight: max(0, l.InFlight-o.InFlight), PrefillTokens: max(0, l.PrefillTokens-o.PrefillTokens), ReservedTokens: max(0, l.ReservedTokens-o.ReservedTokens), RefusedEntries: max(0, l.RefusedEntries-o.RefusedEntries)}
}

// Loads is an entry's load by the engine's ID; engines without any are left out.
type Loads map[string]Load

// Report is what an entry tells of its loads.
type Report struct {
	// Entry names the entry with its start.
	Entry string `cbor:"entry"`
	// Sequence counts the entry's posts.
	Sequence uint64 `cbor:"number"`
	// Loads are the loads.
	Loads Loads `cbor:"loads"`
}

// Sum is the load of all entries.
//
// Names travel as short hashes, which every entry gets several times a second. Two
// names with one hash, one chance in some millions, count as one engine that is a
// little busier.
type Sum struct {
	// Loads are the loads by the hash of the engine's ID.
	Loads map[uint32]Load `cbor:"loads"`
	// Sequences are the number of the post that is included, by the hash of the entry's name.
	Sequences map[uint32]uint64 `cbor:"posts"`
}

// WithLoads returns the sum with other's loads added; the posts stay those of s.
func (s Sum) WithLoads(other Sum) Sum {
	loads := maps.Clone(s.Loads)
	if loads == nil {
		loads = map[uint32]Load{}
	}
	for h, l := range other.Loads {
		loads[h] = loads[h].Plus(l)
	}
	s.Loads = loads
	return s
}

// hash returns a short name for an engine or an entry.
func hash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// QueueKey names the load that holds the room which the requests in the entries' lines want, by their urgency.
func QueueKey(urgency int) string {
	return "line/" + strconv.Itoa(urgency)
}
