package directory

import (
	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/events"
)

// fakeEngine holds pieces in memory and reports them in numbered events.
type fakeEngine struct {
	identity    string
	incarnation uint64
	sequence    uint64
	memory      map[block.Key][]byte
	queued      []events.Event
}

func newFakeEngine(identity string) *fakeEngine {
	return &fakeEngine{identity: identity, incarnation: 1, memory: map[block.Key][]byte{}}
}

func (e *fakeEngine) insert(k block.Key, data []byte) {
	if _, ok := e.memory[k]; ok {
		return
	}
	e.memory[k] = data
	e.queued = append(e.queued, events.Event{Kind: events.Inserted, Key: k})
}

// evict drops a piece chosen by a random key.
func (e *fakeEngine) evict(after block.Key) {
	keys := ordered(e.memory)
	if len(keys) == 0 {
		return
	}
	k := keys[int(after[0])%len(keys)]
	delete(e.memory, k)
	e.queued = append(e.queued, events.Event{Kind: events.Evicted, Key: k})
}

// restart starts a new incarnation under the same identity with an empty cache.
func (e *fakeEngine) restart() {
	e.incarnation++
	e.sequence = 0
	e.memory = map[block.Key][]byte{}
	e.queued = nil
}

// report returns the queued events as one batch, which may be empty.
func (e *fakeEngine) report() events.Report {
	r := events.Report{Identity: e.identity, Incarnation: e.incarnation, First: e.sequence + 1, Events: e.queued}
	e.sequence += uint64(len(e.queued))
	e.queued = nil
	return r
}

// listing returns all pieces in one or two parts, after the queued events were numbered.
func (e *fakeEngine) listing() []events.Report {
	keys := ordered(e.memory)
	half := len(keys) / 2
	parts := [][]block.Key{keys[:half], keys[half:]}
	var all []events.Report
	for i, p := range parts {
		all = append(all, events.Report{Identity: e.identity, Incarnation: e.incarnation, Listing: &events.Listing{
			Sequence: e.sequence,
			Part:     i + 1,
			Parts:    len(parts),
			Keys:     p,
		}})
	}
	return all
}
