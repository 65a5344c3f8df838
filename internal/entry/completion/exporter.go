package completion

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/policy/placement"
	"hornbeamwood/internal/policy/route"
)

const (
	// exportTimeout bounds one export.
	exportTimeout = 30 * time.Second
	// maxExports bounds the concurrent exports. Further ones are dropped; the pieces are exported when the prompt is reused.
	maxExports = 32
)

// Export is a request to one engine to write pieces to stores.
type Export struct {
	// WeightVersion is the weight version with which the pieces were computed.
	WeightVersion string
	// Deadline is the time that the engine has for the export.
	Deadline time.Duration
	// Pieces lists the pieces with their destinations.
	Pieces []ExportPiece
}

// ExportPiece is one piece of an Export.
type ExportPiece struct {
	// Key identifies the piece.
	Key block.Key
	// Store is the store's identity.
	Store string
	// Incarnation is the store's incarnation.
	Incarnation uint64
	// Address is the store's IP and port.
	Address string
	// Tier is the tier in which the store should keep the piece.
	Tier directory.Tier
}

// ExportResult is the result for one ExportPiece.
type ExportResult struct {
	// Sealed is true when the store holds the complete piece under Generation.
	Sealed bool
	// Generation is the generation that the store assigned.
	Generation uint64
	// Bytes is the size of the piece.
	Bytes int64
}

// exporter runs exports in the background after requests have ended.
type exporter struct {
	Config
	metrics *routerMetrics
	slots   chan struct{}
	running sync.WaitGroup

	mu    sync.Mutex
	bytes map[string]int64
}

func newExporter(c Config, m *routerMetrics) *exporter {
	return &exporter{Config: c, metrics: m, slots: make(chan struct{}, maxExports), bytes: make(map[string]int64)}
}

func (x *exporter) wait() {
	x.running.Wait()
}

// start plans the export of the pieces that a completed run left in its engine's memory, and runs it in the background.
func (x *exporter) start(r *router, j *job, a *attempt) {
	document, ok := j.documentKey()
	if !ok {
		return
	}
	visit := r.visits.add(document)
	x.ReuseEstimator.Seen(j.Workspace, visit)
	d := placement.Decide(x.input(j, a, visit))
	e := x.newExport(j, a, d)
	event.ExportPlanned.Write(x.Logger, log.Fields{
		"request": j.ID, "workspace": j.Workspace, "engine": a.server.Announcement().Identity,
		"pieces": len(e.Pieces), "reason": string(d.Reason),
	})
	if len(e.Pieces) == 0 {
		return
	}
	select {
	case x.slots <- struct{}{}:
	default:
		return
	}
	x.running.Go(func() {
		defer func() { <-x.slots }()
		x.run(j, a, e)
	})
}

func (x *exporter) input(j *job, a *attempt, visit int) placement.Input {
	load, _ := a.server.Load()
	in := placement.Input{
		Rules:            j.Rules,
		ReuseProbability: x.ReuseEstimator.Probability(j.Workspace, visit),
		PrefillRate:      max(load.PrefillRate, 1),
	}
	size := x.pieceBytes(j.Model.Name)
	for i, k := range j.keys {
		in.Pieces = append(in.Pieces, placement.Piece{
			Key:    keyPrefix(k),
			Tokens: j.Model.PieceTokens,
			Bytes:  size,
			Stored: len(j.locations[i].Stores) > 0,
		})
	}
	for _, s := range a.view.stores {
		in.Stores = append(in.Stores, placementStore(s, size))
	}
	return in
}

// placementStore returns a store's free and total memory in bytes; announcements count both in pieces.
func placementStore(s *membership.Server, size int64) placement.Store {
	load, _ := s.Load()
	return placement.Store{
		Identity:   s.Announcement().Identity,
		LinkRate:   load.LinkRate,
		Backlog:    float64(load.LinkQueued) / max(load.LinkRate, 1),
		Memory:     load.CachePieces * size,
		FreeMemory: load.FreePieces * size,
	}
}

func (x *exporter) newExport(j *job, a *attempt, d placement.Decision) Export {
	e := Export{WeightVersion: j.Model.WeightVersion, Deadline: exportTimeout}
	for _, p := range d.Exports {
		s := a.view.stores[p.Store].Announcement()
		e.Pieces = append(e.Pieces, ExportPiece{
			Key:         j.keys[p.Piece],
			Store:       s.Identity,
			Incarnation: s.Incarnation,
			Address:     s.Address,
			Tier:        tierOf(p.Tier),
		})
	}
	return e
}

func tierOf(t route.Tier) directory.Tier {
	if t == route.Disk {
		return directory.Disk
	}
	return directory.Memory
}

func (x *exporter) run(j *job, a *attempt, e Export) {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	writing := make([]directory.StoreChange, len(e.Pieces))
	for i, p := range e.Pieces {
		writing[i] = p.change(directory.Writing)
	}
	x.Cache.Change(ctx, writing...)
	results, err := x.Exports.Export(ctx, a.server.Announcement().Address, e)
	if err != nil {
		results = nil
	}
	final, sealed := x.changes(j, e, results)
	x.Cache.Change(context.WithoutCancel(ctx), final...)
	x.metrics.exported.Add(sealed)
	x.metrics.exportLost.Add(len(e.Pieces) - sealed)
	event.ExportEnded.Write(x.Logger, log.Fields{"request": j.ID, "sealed": sealed, "pieces": len(e.Pieces)})
}

// changes returns the final state change of each piece, and the number of sealed ones.
func (x *exporter) changes(j *job, e Export, results []ExportResult) (all []directory.StoreChange, sealed int) {
	for i, p := range e.Pieces {
		c := p.change(directory.Writing)
		c.Failed = true
		if i < len(results) && results[i].Sealed {
			sealed++
			x.setPieceBytes(j.Model.Name, results[i].Bytes)
			c = p.change(directory.Sealed)
			c.Generation, c.Bytes, c.Tier = results[i].Generation, results[i].Bytes, p.Tier
		}
		all = append(all, c)
	}
	return all, sealed
}

func (p ExportPiece) change(to directory.State) directory.StoreChange {
	return directory.StoreChange{
		Store:          p.Store,
		Incarnation:    p.Incarnation,
		Key:            p.Key,
		To:             to,
		DeadlineMillis: exportTimeout.Milliseconds(),
	}
}

// initialPieceBytes is the assumed size of a model's pieces until an export has
// reported one. It is small so that the first export is made and reports the size.
const initialPieceBytes = 1

func (x *exporter) pieceBytes(model string) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return max(x.bytes[model], initialPieceBytes)
}

func (x *exporter) setPieceBytes(model string, bytes int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.bytes[model] = bytes
}
