package directory

import "time"

// Defaults of Config.
const (
	DefaultLocations       = 2 << 20
	DefaultServers         = 1024
	DefaultListing         = 256 << 10
	DefaultTombstone       = 2 * time.Minute
	DefaultGapTimeout      = 500 * time.Millisecond
	DefaultListingInterval = 2 * time.Second
	DefaultForget          = 10 * time.Minute
)

// maxBatches is the number of batches after a gap that are buffered for each engine.
const maxBatches = 64

// Config holds the limits of a Directory; zero fields take the defaults.
type Config struct {
	// Start is the local time at which the process started.
	Start time.Time
	// Locations is the largest number of locations; further ones are not stored.
	Locations int
	// Servers is the largest number of engines and stores.
	Servers int
	// Listing is the largest number of this node's keys in one engine's listing.
	Listing int
	// Tombstone is how long a freed generation is kept, so that a late message can't restore it.
	Tombstone time.Duration
	// GapTimeout is how long a gap may last before a listing is requested; most gaps are only reordered batches and close by themselves.
	GapTimeout time.Duration
	// ListingInterval is the minimum time between two requests for a listing of one engine.
	ListingInterval time.Duration
	// Forget is how long after its last contact an engine or store is removed.
	Forget time.Duration
}

func (c Config) withDefaults() Config {
	c.Locations = orDefault(c.Locations, DefaultLocations)
	c.Servers = orDefault(c.Servers, DefaultServers)
	c.Listing = orDefault(c.Listing, DefaultListing)
	c.Tombstone = orDefault(c.Tombstone, DefaultTombstone)
	c.GapTimeout = orDefault(c.GapTimeout, DefaultGapTimeout)
	c.Forget = orDefault(c.Forget, DefaultForget)
	c.ListingInterval = orDefault(c.ListingInterval, DefaultListingInterval)
	return c
}

func orDefault[T int | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}
