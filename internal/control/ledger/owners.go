package ledger

import (
	"cmp"
	"slices"
)

// OwnersQuery asks for the owners of live claims.
type OwnersQuery struct{}

// Owner is one incarnation of an entry that holds live claims.
type Owner struct {
	// Entry is the entry's identity.
	Entry string `cbor:"entry"`
	// Incarnation identifies the entry's process.
	Incarnation uint64 `cbor:"incarnation"`
}

// Owners is the result of an OwnersQuery.
type Owners struct {
	// Owners are sorted by entry and incarnation.
	Owners []Owner `cbor:"owners"`
}

func (l *ledger) owners() Owners {
	found := make(map[Owner]bool)
	for i := range l.shards {
		l.shards[i].Load().addOwners(found)
	}
	var o Owners
	for x := range found {
		o.Owners = append(o.Owners, x)
	}
	slices.SortFunc(o.Owners, func(a, b Owner) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return o
}

func (s *shard) addOwners(found map[Owner]bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for o, records := range s.liveByOwner {
		if len(records) > 0 {
			found[Owner{Entry: o.entry, Incarnation: o.incarnation}] = true
		}
	}
}
