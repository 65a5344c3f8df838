package engine

import (
	"context"
	"time"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/store"
	"hornbeamwood/internal/entry/backend"
	"hornbeamwood/internal/entry/completion"
)

const (
	// maxPieces is the largest number of pieces in one request.
	maxPieces = 64
	// queryTimeout limits the queries to the stores after an export whose answer was lost.
	queryTimeout = 5 * time.Second
)

// Heads looks up pieces in stores.
type Heads interface {
	// Head returns the sealed piece with the given key, and false if the store has none.
	Head(ctx context.Context, address string, k block.Key) (store.Piece, bool, error)
}

// Config holds the dependencies of an export client.
type Config struct {
	// Engine sends exports to engines.
	Engine backend.Engine
	// Heads determines the result of exports whose answer was lost.
	Heads Heads
}

type exports struct {
	Config
}

// NewExports returns a client for exports with any number of pieces.
func NewExports(c Config) completion.Exports {
	return &exports{Config: c}
}

// Export implements completion.Exports.
func (x *exports) Export(ctx context.Context, address string, e completion.Export) ([]completion.ExportResult, error) {
	all := make([]completion.ExportResult, 0, len(e.Pieces))
	for from := 0; from < len(e.Pieces); from += maxPieces {
		batch := e.Pieces[from:min(from+maxPieces, len(e.Pieces))]
		all = append(all, x.exportBatch(ctx, address, e, batch)...)
	}
	return all, nil
}

// exportBatch exports up to maxPieces pieces. If the answer is lost, it is unknown which
// of them were written, so it queries each store.
func (x *exports) exportBatch(ctx context.Context, address string, e completion.Export, pieces []completion.ExportPiece) []completion.ExportResult {
	wire := backend.Export{WeightVersion: e.WeightVersion, DeadlineMillis: e.Deadline.Milliseconds()}
	for _, p := range pieces {
		wire.Pieces = append(wire.Pieces, backend.ExportPiece{Key: p.Key, Store: p.Address, Tier: p.Tier.String()})
	}
	a, err := x.Engine.Export(ctx, address, wire)
	if err != nil {
		return x.queryStores(pieces)
	}
	return match(pieces, a.Results)
}

func (x *exports) queryStores(pieces []completion.ExportPiece) []completion.ExportResult {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	all := make([]completion.ExportResult, len(pieces))
	for i, p := range pieces {
		h, ok, err := x.Heads.Head(ctx, p.Address, p.Key)
		if err == nil && ok {
			all[i] = completion.ExportResult{Sealed: true, Generation: h.Generation, Bytes: h.Bytes}
		}
	}
	return all
}

// match returns the results in the order of the pieces, whatever the order of the answer.
func match(pieces []completion.ExportPiece, results []backend.ExportResult) []completion.ExportResult {
	type target struct {
		key   block.Key
		store string
	}
	byTarget := make(map[target]backend.ExportResult, len(results))
	for _, r := range results {
		byTarget[target{r.Key, r.Store}] = r
	}
	all := make([]completion.ExportResult, len(pieces))
	for i, p := range pieces {
		r := byTarget[target{p.Key, p.Address}]
		if r.State == backend.ExportSealed || r.State == backend.ExportPresent {
			all[i] = completion.ExportResult{Sealed: true, Generation: r.Generation, Bytes: r.Bytes}
		}
	}
	return all
}
