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

// transferMark is in every event that tells what became of imports.
var transferMark = []byte(`"` + transferField + `"`)

// transferred is the part of an engine's last event that tells what became of imports.
type transferred struct {
	Transfer struct {
		Failed []block.Key `json:"failed"`
	} `json:"kv_transfer_params"`
}

// noteMissed tells the directory of imports that the event says have failed and whose piece is gone.
//
// A store may drop a piece on its own. Unless somebody says so, the directory
// goes on naming it, and each return of the prompt waits for a read that fails.
func (r *router) noteMissed(ctx context.Context, a *attempt, event []byte) {
	if len(a.imports) == 0 || !bytes.Contains(event, transferMark) {
		return
	}
	var t transferred
	if json.Unmarshal(event, &t) != nil || len(t.Transfer.Failed) == 0 {
		return
	}
	ctx = context.WithoutCancel(ctx)
	r.running.Go(func() { r.forget(ctx, a.imports, t.Transfer.Failed) })
}

// forget asks the stores for the failed pieces. A read may have failed for
// want of a connection; a piece that is still there must not be forgotten.
func (r *router) forget(ctx context.Context, imports []importPiece, failed []block.Key) {
	ctx, cancel := context.WithTimeout(ctx, forgetTime)
	defer cancel()
	var gone []directory.StoreChange
	for _, p := range imports {
		if !slices.Contains(failed, p.Key) {
			continue
		}
		held, ok, err := r.Heads.Head(ctx, p.Store, p.Key)
		if err != nil || ok && held.Generation == p.Generation {
			continue
		}
		gone = append(gone, directory.StoreChange{
			Store:       p.store,
			Incarnation: p.incarnation,
			Key:         p.Key,
			To:          directory.Freed,
			Generation:  p.Generation,
		})
	}
	r.Cache.Change(ctx, gone...)
}

// forgetTime bounds the questions to stores after failed imports.
const forgetTime = 5 * time.Second
