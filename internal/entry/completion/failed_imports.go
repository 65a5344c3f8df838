package completion

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
)

// transferMarker is contained in every event that reports the results of imports.
var transferMarker = []byte(`"` + transferField + `"`)

// transferResult is the part of an engine's last event that reports the results of imports.
type transferResult struct {
	Transfer struct {
		Failed []block.Key `json:"failed"`
	} `json:"kv_transfer_params"`
}

// reportFailedImports reports to the directory the imports that the event lists as failed and whose piece is gone.
//
// A store may drop a piece on its own. Without a report, the directory would
// keep the location, and each reuse of the prompt would wait for a read that
// fails.
func (r *router) reportFailedImports(ctx context.Context, a *attempt, event []byte) {
	if len(a.imports) == 0 || !bytes.Contains(event, transferMarker) {
		return
	}
	var t transferResult
	if json.Unmarshal(event, &t) != nil || len(t.Transfer.Failed) == 0 {
		return
	}
	ctx = context.WithoutCancel(ctx)
	r.running.Go(func() { r.removeMissing(ctx, a.imports, t.Transfer.Failed) })
}

// removeMissing queries the stores for the failed pieces and removes from the
// directory those that are gone. A read may have failed because of a connection
// error; a piece that the store still holds must stay in the directory.
func (r *router) removeMissing(ctx context.Context, imports []importPiece, failed []block.Key) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var freed []directory.StoreChange
	for _, p := range imports {
		if !slices.Contains(failed, p.Key) {
			continue
		}
		stored, ok, err := r.Heads.Head(ctx, p.Store, p.Key)
		if err != nil || ok && stored.Generation == p.Generation {
			continue
		}
		freed = append(freed, directory.StoreChange{
			Store:       p.store,
			Incarnation: p.incarnation,
			Key:         p.Key,
			To:          directory.Freed,
			Generation:  p.Generation,
		})
	}
	r.Cache.Change(ctx, freed...)
}

// probeTimeout bounds the queries to stores after failed imports.
const probeTimeout = 5 * time.Second
