package share

import (
	"maps"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Load is the load of one entry or of all entries at an engine.
type Load struct {
	// Loads are encoded as arrays without field names, because a sum contains one for each engine.
	_ struct{} `cbor:",toarray"`
	// InFlight is the number of requests in flight.
	InFlight int
	// PrefillTokens is how many prompt tokens are queued or in prefill, until the first event of
	// their request.
	PrefillTokens int
	// ReservedTokens is how many tokens the requests need at most.
	ReservedTokens int
	// RefusedEntries is how many entries had a connection refused there recently.
	RefusedEntries int
}

// Plus returns the sum of l and o.
func (l Load) Plus(o Load) Load {
	return Load{InFlight: l.InFlight + o.InFlight, PrefillTokens: l.PrefillTokens + o.PrefillTokens, ReservedTokens: l.ReservedTokens + o.ReservedTokens, RefusedEntries: l.RefusedEntries + o.RefusedEntries}
}

// Minus returns the difference of l and o with no value below zero.
func (l Load) Minus(o Load) Load {
	return Load{InFlight: max(0, l.InFlight-o.InFlight), PrefillTokens: max(0, l.PrefillTokens-o.PrefillTokens), ReservedTokens: max(0, l.ReservedTokens-o.ReservedTokens), RefusedEntries: max(0, l.RefusedEntries-o.RefusedEntries)}
}

// Loads is an entry's load by engine ID; engines without load are left out.
type Loads map[string]Load

// Report is an entry's report of its loads.
type Report struct {
	// Entry identifies the entry and its start.
	Entry string `cbor:"entry"`
	// Sequence is the sequence number of the report.
	Sequence uint64 `cbor:"number"`
	// Loads are the loads by engine ID.
	Loads Loads `cbor:"loads"`
}

// Sum is the load of all entries.
//
// Names are sent as short hashes, because every entry receives the sum several times a second.
// Two names with the same hash, a chance of one in some millions, count as one engine that is
// a little more loaded.
type Sum struct {
	// Loads are the loads by the hash of the engine's ID.
	Loads map[uint32]Load `cbor:"loads"`
	// Sequences are the sequence numbers of the included reports, by the hash of the entry's name.
	Sequences map[uint32]uint64 `cbor:"posts"`
}

// WithLoads returns the sum with the loads of other added. Its sequence numbers are those of
// s.
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

// hash returns the hash that stands for the name of an engine or an entry.
func hash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// QueueKey returns the key of the load that holds the tokens needed by the requests in the
// entries' wait queues at that urgency.
func QueueKey(urgency int) string {
	return "line/" + strconv.Itoa(urgency)
}
