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
	p.leaseRows.mu.Lock()
	defer p.leaseRows.mu.Unlock()
	if fencing < p.leaseRows.fencing {
		return 0
	}
	p.leaseRows.fencing = fencing
	return p.put(t, key, topic.Leased[T]{Fencing: fencing, Value: value})
}
