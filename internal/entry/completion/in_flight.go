package completion

import (
	"sync"

	"hornbeamwood/internal/policy/route"
)

// inFlight counts, for each backend server, the work of this entry that has no first token yet.
type inFlight struct {
	mu   sync.Mutex
	work map[string]route.Work
}

func newInFlight() *inFlight {
	return &inFlight{work: make(map[string]route.Work)}
}

// load is the load that one attempt adds until its first token.
type load struct {
	server string
	band   int
	tokens int64
}

func (f *inFlight) add(l load, sign int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.work[l.server].With(l.band, int32(sign), sign*l.tokens)
	f.work[l.server] = w
	if w.Count() == 0 {
		delete(f.work, l.server)
	}
}

func (f *inFlight) of(server string) route.Work {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.work[server]
}
