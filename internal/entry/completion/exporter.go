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
	// exportTime is how long one export may take.
	exportTime = 30 * time.Second
	// maxExports bounds the exports that run at once; what goes beyond is exported when the prompt comes again.
	maxExports = 32
)

// Export asks one engine to write pieces to stores.
type Export struct {
	// WeightVersion is the version that the pieces were computed with.
	WeightVersion string
	// Deadline is how long the engine may take.
	Deadline time.Duration
	// Pieces says what goes where.
	Pieces []ExportPiece
}

// ExportPiece is one piece of an Export.
type ExportPiece struct {
	// Key names the piece.
	Key block.Key
	// Store is the store's identity.
	Store string
	// Incarnation is the store's incarnation.
	Incarnation uint64
	// Address is the store's IP and port.
	Address string
	// Tier is where the store should hold it.
	Tier directory.Tier
}

// ExportResult is what became of one ExportPiece.
type ExportResult struct {
	// Sealed says that the store has the whole piece under Generation.
	Sealed bool
	// Generation is the store's.
	Generation uint64
	// Bytes is the size of the piece.
	Bytes int64
}

// exporter runs exports beside the requests that they follow.
type exporter struct {
	Config
	meters  *meters
	slots   chan struct{}
	running sync.WaitGroup

	mu    sync.Mutex
	bytes map[string]int64
}

func newExporter(c Config, m *meters) *exporter {
	return &exporter{Config: c, meters: m, slots: make(chan struct{}, maxExports), bytes: make(map[string]int64)}
}

func (x *exporter) wait() {
	x.running.Wait()
}

// begin plans the export of what an ended run left in its engine's memory and starts it.
func (x *exporter) begin(r *router, j *job, a *attempt) {
	document, ok := j.document()
	if !ok {
		return
	}
	visit := r.visits.seen(document)
	x.Returns.Seen(j.Workspace, visit)
	d := placement.Decide(x.input(j, a, visit))
	e := x.export(j, a, d)
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
		Rules:       j.Rules,
		Return:      x.Returns.Probability(j.Workspace, visit),
		PrefillRate: max(load.PrefillRate, 1),
	}
	size := x.pieceBytes(j.Model.Name)
	for i, k := range j.keys {
		in.Pieces = append(in.Pieces, placement.Piece{
			Key:    short(k),
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

// placementStore returns a store's room; announcements count it in pieces.
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

func (x *exporter) export(j *job, a *attempt, d placement.Decision) Export {
	e := Export{WeightVersion: j.Model.WeightVersion, Deadline: exportTime}
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
	ctx, cancel := context.WithTimeout(context.Background(), exportTime)
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
	ended, sealed := x.ended(j, e, results)
	x.Cache.Change(context.WithoutCancel(ctx), ended...)
	x.meters.exported.Add(sealed)
	x.meters.exportLost.Add(len(e.Pieces) - sealed)
	event.ExportEnded.Write(x.Logger, log.Fields{"request": j.ID, "sealed": sealed, "pieces": len(e.Pieces)})
}

// ended returns what became of each piece, and how many the stores hold now.
func (x *exporter) ended(j *job, e Export, results []ExportResult) (all []directory.StoreChange, sealed int) {
	for i, p := range e.Pieces {
		c := p.change(directory.Writing)
		c.Failed = true
		if i < len(results) && results[i].Sealed {
			sealed++
			x.learn(j.Model.Name, results[i].Bytes)
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
		DeadlineMillis: exportTime.Milliseconds(),
	}
}

// unknownBytes stands for the size of a model's pieces until a store has told one;
// it is small, so that the first export is made and tells.
const unknownBytes = 1

func (x *exporter) pieceBytes(model string) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return max(x.bytes[model], unknownBytes)
}

func (x *exporter) learn(model string, bytes int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.bytes[model] = bytes
}
