package completion

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/cache/store"
	"hornbeamwood/internal/entry/engine"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/policy/admission"
	"hornbeamwood/internal/policy/backoff"
	"hornbeamwood/internal/policy/placement"
	"hornbeamwood/internal/policy/retry"
	"hornbeamwood/internal/policy/route"
)

// Cache is the cell's cache directory.
type Cache interface {
	// Lookup returns the locations of the keys in their order.
	Lookup(ctx context.Context, keys []block.Key) directory.Locations
	// Change reports state changes of pieces in stores to the directory replicas that hold their keys.
	Change(ctx context.Context, all ...directory.StoreChange)
	// Pin protects sealed pieces from being freed and returns for each whether the pin was granted.
	Pin(ctx context.Context, all []directory.Pin) []bool
	// Unpin releases pins.
	Unpin(ctx context.Context, all []directory.Pin)
}

// Engines runs attempts at engines.
type Engines interface {
	// Run starts an attempt at the engine with the given IP and port.
	Run(ctx context.Context, address string, r engine.Request) (engine.Stream, error)
}

// Exports asks engines to write pieces to stores.
type Exports interface {
	// Export returns the result for each piece, in order.
	Export(ctx context.Context, address string, e Export) ([]ExportResult, error)
}

// Heads queries stores for the pieces that they hold.
type Heads interface {
	// Head returns the sealed piece of a key and false when the store has none.
	Head(ctx context.Context, address string, k block.Key) (store.Piece, bool, error)
}

// Servers provides the backend servers known to this entry.
type Servers interface {
	// View returns the current view of all servers.
	View() membership.View
}

// Config configures a Router.
type Config struct {
	// Servers, Work and Cache are the entry's soft state.
	Servers Servers
	Work    membership.Work
	Cache   Cache
	// Engines runs attempts at engines, and Exports has engines write pieces to stores.
	Engines Engines
	Exports Exports
	// Heads queries stores for pieces that could not be imported.
	Heads Heads
	// Strategy, Admission and Retry are the policies for routing, admission and retries.
	Strategy  route.Strategy
	Admission admission.Policy
	Retry     retry.Policy
	// ReuseEstimator estimates how likely a prompt is to be reused.
	ReuseEstimator placement.ReuseEstimator
	// Guard refuses requests that crash their servers.
	Guard Guard
	// Backoffs are the servers that requested a backoff of this entry; nil for none.
	Backoffs backoff.Backoffs
	// Entries is the number of entries of the cell.
	Entries int
	// Metrics is the set in which the counters are registered; nil for none.
	Metrics *metrics.Set
	// Logger receives the events.
	Logger log.Interface
	// Now returns the local time with its monotonic reading.
	Now func() time.Time
	// NewAttempt returns a globally unique attempt ID.
	NewAttempt func() string
	// Random is the source of all random choices.
	Random *rand.Rand
}
