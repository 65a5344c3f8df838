package sitecontrol

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
)

// followedStore is a store whose inventory this replica follows.
type followedStore struct {
	// fencing is the fencing number of the lease under which the store is followed.
	fencing   uint64
	mu        sync.Mutex
	inventory *stores.StoreInventory
	// clock is this store's clock. The clocks of other stores may differ from it.
	clock  *stores.Clock
	cancel context.CancelFunc
	// freeing is set while an order to free parts is on its way.
	freeing atomic.Bool
	// listedAt is when the store was last listed as a whole. reported is set once its
	// state was shown, and state is what was shown last. Only the
	// goroutine of watch uses these fields.
	listedAt time.Time
	reported bool
	state    topic.StoreState
	// listRevision is the table's revision of the last row of a list.
	listRevision uint64
	// unfollowed is set if the store is no longer followed.
	unfollowed bool
}

// maxRowParts bounds the parts in one row, which takes 14 bytes for each of them.
// A row must get through an entry's link before its poll times out.
const maxRowParts = 4096

// showStoreParts writes the present state of many parts to as few rows as possible. It does nothing once the store is unfollowed.
func (sf *storeFollower) showStoreParts(x *followedStore, size string, whole bool, parts []stores.Part) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.unfollowed {
		return
	}
	sf.showPartsRow(x, size, whole, parts[:min(len(parts), maxRowParts)])
	for at := maxRowParts; at < len(parts); at += maxRowParts {
		sf.showPartsRow(x, size+"/"+strconv.Itoa(at), false, parts[at:min(len(parts), at+maxRowParts)])
	}
}

// showPartsRow writes the present state of parts to one row; the caller holds x.mu.
func (sf *storeFollower) showPartsRow(x *followedStore, key string, whole bool, parts []stores.Part) {
	s := topic.StoreSummary{Address: x.inventory.Address, Listed: time.Now().UnixNano(), ReplacesEarlier: whole}
	for _, p := range parts {
		if tokens, ok := x.inventory.Fetchable(p); ok {
			s.Parts = append(s.Parts, p.Hash())
			s.Tokens = append(s.Tokens, uint32(tokens))
		}
	}
	x.listRevision = max(x.listRevision, putLeased(sf.process, x.fencing, topic.StoreSummaries, s.Address+"/"+key, s))
}

// bySize splits the parts into those of at least longPartTokens and the others.
func bySize(all []stores.Part, sizes map[stores.Part]int) (long, short []stores.Part) {
	for _, p := range all {
		if sizes[p] >= longPartTokens {
			long = append(long, p)
		} else {
			short = append(short, p)
		}
	}
	return long, short
}

// showParts sets the rows of the parts and returns the table's revision that includes every removal.
func (sf *storeFollower) showParts(x *followedStore, parts []stores.Part) uint64 {
	revision := uint64(0)
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range parts {
		tokens, ok := x.inventory.Fetchable(p)
		if n := sf.showPart(x, p.AtStore(x.inventory.Address).Key(), tokens); !ok {
			revision = max(revision, n)
		}
	}
	return revision
}

// showPart sets the row of one part and returns its revision.
//
// A row with the same value as before a list keeps its revision, and the list with its
// later revision takes precedence over it. Entries would go on fetching a part
// that is about to be freed. Such a row gets a new revision.
func (sf *storeFollower) showPart(x *followedStore, key string, tokens int) uint64 {
	n := putLeased(sf.process, x.fencing, topic.Parts, key, tokens)
	if n < x.listRevision {
		n = renewLeased(sf.process, x.fencing, topic.Parts, key, tokens)
	}
	return n
}

// unfollow stops following the store.
func (x *followedStore) unfollow() {
	x.cancel()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.unfollowed = true
}

// epoch returns the store's epoch in which it was last listed.
func (x *followedStore) epoch() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.inventory.Epoch()
}

// isUnfollowed returns whether the store is no longer followed.
func (x *followedStore) isUnfollowed() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.unfollowed
}
