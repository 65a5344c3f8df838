package sitecontrol

import (
	"errors"
	"sync"
	"time"
)

// restartDelay is how long a store that has restarted isn't used. An entry that doesn't
// know of the restart yet uses the lease holder's rows for two seconds and those of
// other replicas for two more. Meanwhile it may request the fetch of a part that another
// entry is saving again.
const restartDelay = 5 * time.Second

var errRestarted = errors.New("the store restarted recently and isn't used yet")

// storeStarts records the start of each store that this replica last saw.
type storeStarts struct {
	mu   sync.Mutex
	seen map[string]storeStart
}

// storeStart is one start of a store.
type storeStart struct {
	epoch int64
	// since is when this start replaced an earlier one, zero for the first start that was seen.
	since time.Time
}

func newStoreStarts() *storeStarts {
	return &storeStarts{seen: map[string]storeStart{}}
}

// record records which start of the store at address answered.
func (s *storeStarts) record(address string, epoch int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, known := s.seen[address]
	switch {
	case !known:
		s.seen[address] = storeStart{epoch: epoch}
	case before.epoch != epoch:
		s.seen[address] = storeStart{epoch: epoch, since: now}
	}
}

// restartPropagated returns whether all entries know of the store's last restart; true when none was seen.
func (s *storeStarts) restartPropagated(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.seen[address]
	return x.since.IsZero() || now.Sub(x.since) >= restartDelay
}
