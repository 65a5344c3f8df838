package quic

import (
	"context"
	"time"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/cache/store"
)

const (
	// rebuildInterval is the time between two checks for stores that were not listed yet.
	rebuildInterval = 2 * time.Second
	// listTimeout limits the request for one page of a listing.
	listTimeout = 5 * time.Second
)

// StoreVM identifies a store by its announcement.
type StoreVM struct {
	// Identity is the store's identity.
	Identity string
	// Incarnation increases with each start of the store.
	Incarnation uint64
	// Address is its IP and port.
	Address string
}

// Lister lists the pieces of stores.
type Lister interface {
	// List returns the page of pieces after a key; the zero key returns the first page.
	List(ctx context.Context, address string, after block.Key) (store.Page, error)
}

// rebuild lists each incarnation of a store once in the lifetime of this process.
//
// The directory is soft state. An entry starts with an empty one, and after a
// rolling restart of all entries none would know which pieces the stores still
// hold: every returning prompt would be recomputed.
func (k *cache) rebuild(ctx context.Context) {
	listed := make(map[string]uint64)
	t := time.NewTicker(rebuildInterval)
	defer t.Stop()
	for {
		for _, s := range k.Stores() {
			if listed[s.Identity] < s.Incarnation && k.list(ctx, s) {
				listed[s.Identity] = s.Incarnation
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// list adds the pieces of one store whose keys this entry holds, and reports whether the listing was completed.
func (k *cache) list(ctx context.Context, s StoreVM) bool {
	var after block.Key
	for {
		p, err := k.page(ctx, s, after)
		if err != nil {
			return false
		}
		for _, piece := range p.Pieces {
			k.addPiece(s, piece)
		}
		if p.Last {
			return true
		}
		after = p.Next
	}
}

func (k *cache) page(ctx context.Context, s StoreVM, after block.Key) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return k.Lister.List(ctx, s.Address, after)
}

func (k *cache) addPiece(s StoreVM, p store.Piece) {
	first, second := k.ring.Holders(p.Key)
	nodes := k.ring.Nodes()
	if nodes[first] != k.Self && nodes[second] != k.Self {
		return
	}
	k.Directory.Store(k.Now(), directory.StoreChange{
		Store:       s.Identity,
		Incarnation: s.Incarnation,
		Key:         p.Key,
		To:          directory.Sealed,
		Generation:  p.Generation,
		Bytes:       p.Bytes,
		Tier:        p.Tier,
	})
}
