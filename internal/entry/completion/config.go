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
	"hornbeamwood/internal/policy/placement"
	"hornbeamwood/internal/policy/retry"
	"hornbeamwood/internal/policy/route"
)

// Cache is the directory of the cell.
type Cache interface {
	// Lookup returns the locations of the keys in their order.
	Lookup(ctx context.Context, keys []block.Key) directory.Locations
	// Change tells the holders of the keys about steps in the life of their pieces in stores.
	Change(ctx context.Context, all ...directory.StoreChange)
	// Pin keeps sealed pieces from being freed and returns for each whether that was granted.
	Pin(ctx context.Context, all []directory.Pin) []bool
	// Unpin takes pins back.
	Unpin(ctx context.Context, all []directory.Pin)
}

// Engines runs attempts at engines.
type Engines interface {
	// Run starts an attempt at the engine with the given IP and port.
	Run(ctx context.Context, address string, r engine.Request) (engine.Stream, error)
}

// Exports tells engines to write pieces to stores.
type Exports interface {
	// Export returns the result for each piece, in order.
	Export(ctx context.Context, address string, e Export) ([]ExportResult, error)
}

// Heads asks stores what they hold.
type Heads interface {
	// Head returns the sealed piece of a key and false when the store has none.
	Head(ctx context.Context, address string, k block.Key) (store.Piece, bool, error)
}

// Servers are the backend servers as this entry knows them.
type Servers interface {
	// View returns all servers as they are known now.
	View() membership.View
}

// Config is what a Router needs.
type Config struct {
	// Servers, Work and Cache are the entry's soft state.
	Servers Servers
	Work    membership.Work
	Cache   Cache
	// Engines and Exports talk to engines.
	Engines Engines
	Exports Exports
	// Heads asks stores for pieces that could not be imported.
	Heads Heads
	// Strategy, Admission and Retry decide.
	Strategy  route.Strategy
	Admission admission.Policy
	Retry     retry.Policy
	// Returns learns which prompts come back.
	Returns placement.Returns
	// Guard stops requests that crash their servers.
	Guard Guard
	// Entries is the number of entries of the cell.
	Entries int
	// Metrics takes the counters; nil for none.
	Metrics *metrics.Set
	// Logger takes the events.
	Logger log.Interface
	// Now returns the local time with its monotonic reading.
	Now func() time.Time
	// NewAttempt returns an id that is unique for ever.
	NewAttempt func() string
	// Random is the source of all random choices.
	Random *rand.Rand
}
