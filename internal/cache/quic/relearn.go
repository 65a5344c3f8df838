package quic

import (
	"context"
	"time"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/cache/store"
)

const (
	// relearnInterval is the time between two looks for stores that were not listed yet.
	relearnInterval = 2 * time.Second
	// listTimeout bounds one page of a listing.
	listTimeout = 5 * time.Second
)

// StoreVM is a store as it announces itself.
type StoreVM struct {
	// Identity names the store.
	Identity string
	// Incarnation grows with each of its starts.
	Incarnation uint64
	// Address is its IP and port.
	Address string
}

// Lister lists what stores hold.
type Lister interface {
	// List returns the pieces after a key; the zero key begins at the start.
	List(ctx context.Context, address string, after block.Key) (store.Page, error)
}

// relearn lists each store once in the life of this process and of the store.
//
// A directory is soft state. An entry that restarts holds nothing, and after a
// rolling restart of all entries nobody would know what the stores still hold:
// every prompt that comes back would be computed again.
func (k *cache) relearn(ctx context.Context) {
	listed := make(map[string]uint64)
	t := time.NewTicker(relearnInterval)
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

// list takes in the pieces of one store whose keys this entry holds, and returns whether it got to the end.
func (k *cache) list(ctx context.Context, s StoreVM) bool {
	var after block.Key
	for {
		p, err := k.page(ctx, s, after)
		if err != nil {
			return false
		}
		for _, piece := range p.Pieces {
			k.found(s, piece)
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

func (k *cache) found(s StoreVM, p store.Piece) {
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
