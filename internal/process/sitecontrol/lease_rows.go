package sitecontrol

import (
	"sync"

	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/topic"
)

// leaseRows guards the rows that hold under one lease for orders.
//
// A goroutine that was suspended may set a row of an earlier lease after one of the present lease. Entries would miss what
// the present lease says, because they go by the lease of a row.
type leaseRows struct {
	mu sync.Mutex
	// fencing is the highest fencing number of a row.
	fencing uint64
}

// putLeased sets a row that holds under the lease with the fencing number and returns the table's revision of its last
// change, zero if rows of a later lease have been set.
func putLeased[T any](p *process, fencing uint64, t rowtable.Topic, key string, value T) uint64 {
	return p.leaseRows.set(fencing, func() uint64 {
		return p.put(t, key, topic.Leased[T]{Fencing: fencing, Value: value})
	})
}

// renewLeased is putLeased for a row that gets a new revision in any case.
func renewLeased[T any](p *process, fencing uint64, t rowtable.Topic, key string, value T) uint64 {
	return p.leaseRows.set(fencing, func() uint64 {
		b, ok := p.encode(t, key, topic.Leased[T]{Fencing: fencing, Value: value})
		if !ok {
			return 0
		}
		return p.table.Renew(t, key, b)
	})
}

// set calls set and returns its result unless rows of a later lease have been set.
func (l *leaseRows) set(fencing uint64, set func() uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fencing < l.fencing {
		return 0
	}
	l.fencing = fencing
	return set()
}
