package quarantine

import (
	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/policy/suspicion"
)

// image is the encoded form of the section in a snapshot.
type image struct {
	Version   uint64          `cbor:"version"`
	Forgotten uint64          `cbor:"forgotten"`
	Limit     int             `cbor:"limit"`
	Records   []record        `cbor:"records"`
	Slots     map[string]slot `cbor:"slots"`
	Removals  []removal       `cbor:"removals"`
}

// Snapshot implements state.Section.
func (q *quarantine) Snapshot() ([]byte, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	i := image{Version: q.version, Forgotten: q.forgotten, Limit: q.limit, Slots: q.slots, Removals: q.removals}
	for _, f := range q.order() {
		i.Records = append(i.Records, *q.records[f])
	}
	return codec.Marshal(i)
}

// Restore implements state.Section.
func (q *quarantine) Restore(snapshot []byte) error {
	i, err := codec.Unmarshal[image](snapshot)
	if err != nil {
		return err
	}
	q.restore(i)
	q.changed()
	return nil
}

func (q *quarantine) restore(i image) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.version, q.forgotten, q.limit, q.removals = i.Version, i.Forgotten, i.Limit, i.Removals
	q.records, q.parts = map[suspicion.Fingerprint]*record{}, 0
	for n := range i.Records {
		q.records[i.Records[n].Fingerprint] = &i.Records[n]
		if i.Records[n].Kind == suspicion.Part {
			q.parts++
		}
	}
	q.slots = i.Slots
	if q.slots == nil {
		q.slots = map[string]slot{}
	}
}
