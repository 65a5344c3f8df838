package sitecontrol

import (
	"errors"
	"sync"
	"time"
)

// restartQuiet is how long a store that has restarted isn't used. An entry that hasn't
// heard of the restart goes by the holder's word for two seconds, by that of others for
// two more, and may have a part fetched that another one has written there anew.
const restartQuiet = 5 * time.Second

var errRestarted = errors.New("the store has restarted and isn't used yet")

// starts notes which start of each store this replica saw last.
type starts struct {
	mu   sync.Mutex
	seen map[string]storeStart
}

// storeStart is one start of a store.
type storeStart struct {
	epoch int64
	// since is when it took the place of an earlier one, zero when it was the first that was seen.
	since time.Time
}

func newStarts() *starts {
	return &starts{seen: map[string]storeStart{}}
}

// note notes which start answered.
func (s *starts) note(address string, epoch int64, now time.Time) {
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

// settled returns whether all entries have heard of the store's last restart, if any was seen.
func (s *starts) settled(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.seen[address]
	return x.since.IsZero() || now.Sub(x.since) >= restartQuiet
}
