package completion

import (
	"context"
	"encoding/binary"
	"slices"

	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/policy/route"
)

// unpin releases pins in the background, because the request no longer depends on them.
func (r *router) unpin(ctx context.Context, pins []directory.Pin) {
	if len(pins) == 0 {
		return
	}
	ctx = context.WithoutCancel(ctx)
	r.running.Go(func() { r.Cache.Unpin(ctx, pins) })
}

// pinImports pins the pieces that the plan imports and returns those that the engine is to import.
// It leaves out the first piece that can't be pinned and all after it; the engine computes these.
func (r *router) pinImports(ctx context.Context, j *job, a *attempt) []importPiece {
	wanted := r.plannedImports(j, a)
	if len(wanted) == 0 {
		return nil
	}
	pins := make([]directory.Pin, len(wanted))
	for i, p := range wanted {
		pins[i] = p.pin(a)
	}
	granted := r.Cache.Pin(ctx, pins)
	for i, ok := range granted {
		if ok {
			a.pins = append(a.pins, pins[i])
		}
	}
	if refused := slices.Index(granted, false); refused >= 0 {
		return wanted[:refused]
	}
	return wanted
}

// plannedImports returns the pieces that the plan imports.
func (r *router) plannedImports(j *job, a *attempt) []importPiece {
	var all []importPiece
	for i, s := range a.decision.Plan {
		if s.Source != route.Import {
			continue
		}
		store := a.view.stores[s.Copy.Store].Announcement()
		at := slices.IndexFunc(j.locations[i].Stores, func(c directory.Stored) bool { return c.Store == store.Identity })
		if at < 0 {
			break
		}
		c := j.locations[i].Stores[at]
		all = append(all, importPiece{
			Key:        j.keys[i],
			Store:      store.Address,
			Generation: c.Generation,
			Bytes:      c.Bytes,

			store:       c.Store,
			incarnation: store.Incarnation,
		})
	}
	return all
}

// pin returns the pin that keeps the piece while the attempt reads it.
func (p importPiece) pin(a *attempt) directory.Pin {
	return directory.Pin{
		Store:          p.store,
		Key:            p.Key,
		Generation:     p.Generation,
		Reader:         readerID(a.id),
		DeadlineMillis: pinDuration.Milliseconds(),
	}
}

// readerID returns the number that identifies an attempt among the readers of a piece.
func readerID(attempt string) uint64 {
	var b [8]byte
	copy(b[:], attempt)
	return binary.BigEndian.Uint64(b[:])
}
