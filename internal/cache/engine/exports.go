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
	// settleTime is how long the stores are asked after an export whose answer was lost.
	settleTime = 5 * time.Second
)

// Heads asks stores what they hold.
type Heads interface {
	// Head returns the sealed piece of a key and false when the store has none.
	Head(ctx context.Context, address string, k block.Key) (store.Piece, bool, error)
}

// Config is what an exporter needs.
type Config struct {
	// Engine sends exports to engines.
	Engine backend.Engine
	// Heads settles exports whose answer was lost.
	Heads Heads
}

type exports struct {
	Config
}

// NewExports returns a client for exports of any length.
func NewExports(c Config) completion.Exports {
	return &exports{Config: c}
}

// Export implements completion.Exports.
func (x *exports) Export(ctx context.Context, address string, e completion.Export) ([]completion.ExportResult, error) {
	all := make([]completion.ExportResult, 0, len(e.Pieces))
	for from := 0; from < len(e.Pieces); from += maxPieces {
		part := e.Pieces[from:min(from+maxPieces, len(e.Pieces))]
		all = append(all, x.part(ctx, address, e, part)...)
	}
	return all, nil
}

// part exports up to maxPieces pieces. An answer that is lost leaves it
// unknown which of them were written, so each store is asked.
func (x *exports) part(ctx context.Context, address string, e completion.Export, pieces []completion.ExportPiece) []completion.ExportResult {
	wire := backend.Export{WeightVersion: e.WeightVersion, DeadlineMillis: e.Deadline.Milliseconds()}
	for _, p := range pieces {
		wire.Pieces = append(wire.Pieces, backend.ExportPiece{Key: p.Key, Store: p.Address, Tier: p.Tier.String()})
	}
	a, err := x.Engine.Export(ctx, address, wire)
	if err != nil {
		return x.ask(pieces)
	}
	return match(pieces, a.Results)
}

func (x *exports) ask(pieces []completion.ExportPiece) []completion.ExportResult {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
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

// match returns the result of each piece, whatever the order of the answer.
func match(pieces []completion.ExportPiece, results []backend.ExportResult) []completion.ExportResult {
	type target struct {
		key   block.Key
		store string
	}
	by := make(map[target]backend.ExportResult, len(results))
	for _, r := range results {
		by[target{r.Key, r.Store}] = r
	}
	all := make([]completion.ExportResult, len(pieces))
	for i, p := range pieces {
		r := by[target{p.Key, p.Address}]
		if r.State == backend.ExportSealed || r.State == backend.ExportPresent {
			all[i] = completion.ExportResult{Sealed: true, Generation: r.Generation, Bytes: r.Bytes}
		}
	}
	return all
}
