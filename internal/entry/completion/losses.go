package completion

import (
	"sync"
	"time"
)

// losses records when an attempt last failed in a way that suggests that its server is lost.
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

// lostAfter reports whether an attempt at the server failed after the server was last seen.
//
// The last announcement of a server stays valid for seconds after its VM is
// lost. Without this check, each request in these seconds would try the lost
// server first, and all of them would need a retry from a budget that is sized
// for a few.
func (l *losses) lostAfter(lastSeen time.Time, server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.at[server]
	if ok && !t.After(lastSeen) {
		delete(l.at, server)
		return false
	}
	return ok
}
