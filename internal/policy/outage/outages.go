package outage

import (
	"sync"
	"time"
)

// forgetAfter is how long a failure is kept. The last announcement of a server is valid for seconds.
const forgetAfter = time.Minute

// Outages records when a request last failed in a way that suggests that its server is lost.
type Outages interface {
	// Add records such a failure.
	Add(now time.Time, server string)
	// LostAfter reports whether a request at the server failed after the server was last seen.
	//
	// The last announcement of a server stays valid for seconds after its VM is
	// lost. Without this check, each request in these seconds would try the lost
	// server first, and all of them would need a retry from a budget that is sized
	// for a few.
	LostAfter(lastSeen time.Time, server string) bool
}

type outages struct {
	mu sync.Mutex
	at map[string]time.Time
}

// New returns Outages of no server.
func New() Outages {
	return &outages{at: make(map[string]time.Time)}
}

// Add implements Outages.
func (o *outages) Add(now time.Time, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for s, t := range o.at {
		if now.Sub(t) > forgetAfter {
			delete(o.at, s)
		}
	}
	o.at[server] = now
}

// LostAfter implements Outages.
func (o *outages) LostAfter(lastSeen time.Time, server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, ok := o.at[server]
	if ok && !t.After(lastSeen) {
		delete(o.at, server)
		return false
	}
	return ok
}
