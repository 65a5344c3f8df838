package directory

import "sync"

// Wants remembers which engines some node wants a listing from, until the engine is told.
type Wants interface {
	// Note remembers that a listing of the engine is wanted.
	Note(engine string)
	// Take returns whether a listing of the engine is wanted and forgets it.
	Take(engine string) bool
}

type wants struct {
	mu      sync.Mutex
	engines map[string]bool
}

// NewWants returns an empty Wants.
func NewWants() Wants {
	return &wants{engines: map[string]bool{}}
}

// Note implements Wants.
func (w *wants) Note(engine string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.engines) < DefaultServers {
		w.engines[engine] = true
	}
}

// Take implements Wants.
func (w *wants) Take(engine string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := w.engines[engine]
	delete(w.engines, engine)
	return wanted
}
