package directory

import "sync"

// ListingRequests holds the engines from which a node has requested a listing, until the request is passed to the engine.
type ListingRequests interface {
	// Add records that a listing of the engine is wanted.
	Add(engine string)
	// Take reports whether a listing of the engine is wanted and removes the request.
	Take(engine string) bool
}

type listingRequests struct {
	mu      sync.Mutex
	engines map[string]bool
}

// NewListingRequests returns an empty ListingRequests.
func NewListingRequests() ListingRequests {
	return &listingRequests{engines: map[string]bool{}}
}

// Add implements ListingRequests.
func (w *listingRequests) Add(engine string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.engines) < DefaultServers {
		w.engines[engine] = true
	}
}

// Take implements ListingRequests.
func (w *listingRequests) Take(engine string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := w.engines[engine]
	delete(w.engines, engine)
	return wanted
}
