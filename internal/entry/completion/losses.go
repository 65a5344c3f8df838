package completion

import (
	"sync"
	"time"
)

// losses remembers when an attempt last failed as if its server were lost.
type losses struct {
	mu sync.Mutex
	at map[string]time.Time
}

func newLosses() *losses {
	return &losses{at: make(map[string]time.Time)}
}

func (l *losses) add(now time.Time, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at[server] = now
}

// since says whether the server failed after it was last heard of.
//
// Its last announcement counts for seconds after its VM is gone. Without this
// each request of those seconds would try the lost server first, and all would
// need a retry from a budget that is made for a few.
func (l *losses) since(heard time.Time, server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.at[server]
	if ok && !t.After(heard) {
		delete(l.at, server)
		return false
	}
	return ok
}
