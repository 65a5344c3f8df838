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
func (l *listingRequests) Add(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.engines) < DefaultServers {
		l.engines[engine] = true
	}
}

// Take implements ListingRequests.
func (l *listingRequests) Take(engine string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := l.engines[engine]
	delete(l.engines, engine)
	return wanted
}
