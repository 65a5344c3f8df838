package quic

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/cache/events"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/outbox"
	"hornbeamwood/internal/node/rpc"
)

const (
	// callTimeout limits one call to another entry.
	callTimeout = 300 * time.Millisecond
	// retryDelay is how long lookups skip an entry after a failed call.
	retryDelay = 2 * time.Second
	// sweepInterval is the time between two sweeps, which free memory and delete pieces.
	sweepInterval = time.Second
	// outboxLength limits the messages queued for one entry; a dropped batch appears there as a gap.
	outboxLength = 1024
)

var exchange = rpc.Method[directory.Message, directory.Reply]{
	Name:  "cache-directory",
	Roles: []keys.Role{keys.Entry},
}

// Cache gives one entry access to the directory of the whole cell.
type Cache interface {
	// Lookup returns the locations of the keys in their order; locations held by an entry that does not answer are left out.
	Lookup(ctx context.Context, keys []block.Key) directory.Locations
	// Report distributes an engine's report to the holders of its keys and reports whether a listing is wanted.
	Report(now time.Time, r events.Report) bool
	// Change sends state changes of pieces in stores to the holders of their keys.
	Change(ctx context.Context, all ...directory.StoreChange)
	// Pin protects sealed pieces from deletion and returns for each whether the pin was granted.
	Pin(ctx context.Context, all []directory.Pin) []bool
	// Unpin removes pins.
	Unpin(ctx context.Context, all []directory.Pin)
	// Close ends the goroutines.
	Close()
}

type cache struct {
	Config
	ring            directory.Ring
	listingRequests directory.ListingRequests
	cancel          context.CancelFunc
	running         sync.WaitGroup
	outbox          outbox.Outbox[directory.Message]

	mu     sync.Mutex
	failed map[string]time.Time
}

// New registers the handler and starts the background tasks of this entry's share; it must be called before the node serves.
func New(c Config) Cache {
	ctx, cancel := context.WithCancel(context.Background())
	k := &cache{
		Config:          c,
		listingRequests: directory.NewListingRequests(),
		cancel:          cancel,
		failed:          make(map[string]time.Time),
	}
	k.outbox = outbox.New(outbox.Config[directory.Message]{Length: outboxLength, Send: k.send})
	nodes := append(slices.Collect(maps.Keys(c.Addresses)), c.Self)
	k.ring = directory.NewRing(nodes)
	rpc.Handle(c.Node, exchange, func(_ context.Context, _ rpc.Peer, m directory.Message) (directory.Reply, error) {
		return directory.Serve(c.Directory, c.Now(), m), nil
	})
	k.running.Go(func() { k.sweep(ctx) })
	k.running.Go(func() { k.rebuild(ctx) })
	return k
}

// Close implements Cache.
func (k *cache) Close() {
	k.cancel()
	k.running.Wait()
	k.outbox.Close()
}

// Lookup implements Cache.
func (k *cache) Lookup(ctx context.Context, all []block.Key) directory.Locations {
	if len(all) == 0 {
		return nil
	}
	q := k.ring.Query(all, k.failedRecently)
	parts := q.Parts()
	answers := make([]directory.Locations, len(parts))
	var calls sync.WaitGroup
	for i, p := range parts {
		if p.To == k.Self {
			answers[i] = k.Directory.Lookup(p.Lookup.Keys)
			continue
		}
		calls.Go(func() {
			r, _ := k.call(ctx, p.To, directory.Message{Lookup: &p.Lookup})
			answers[i] = r.Locations
		})
	}
	calls.Wait()
	return q.Join(answers)
}

// failedRecently reports whether a recent call to an entry failed; the second holder is queried instead.
func (k *cache) failedRecently(node string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, ok := k.failed[node]
	return ok && k.Now().Sub(t) < retryDelay
}

func (k *cache) call(ctx context.Context, node string, m directory.Message) (directory.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := rpc.Call(ctx, k.Node, k.Addresses[node], exchange, m)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.failed[node] = k.Now()
		return r, err
	}
	delete(k.failed, node)
	return r, nil
}

// Report implements Cache.
func (k *cache) Report(now time.Time, r events.Report) bool {
	for _, e := range k.ring.Distribute(r) {
		k.post(now, e)
	}
	return k.listingRequests.Take(r.Identity)
}

// Change implements Cache.
func (k *cache) Change(ctx context.Context, all ...directory.StoreChange) {
	keyed := make([]directory.KeyedMessage, len(all))
	for i := range all {
		keyed[i] = directory.KeyedMessage{Key: all[i].Key, Message: directory.Message{Store: &all[i]}}
	}
	k.sendToHolders(ctx, keyed)
}

// Pin implements Cache.
//
// Either holder of a key may delete the piece once it has no pins of its own. So a
// pin is granted only if at least one holder answers and all that answer grant it.
func (k *cache) Pin(ctx context.Context, all []directory.Pin) []bool {
	keyed := make([]directory.KeyedMessage, len(all))
	for i := range all {
		keyed[i] = directory.KeyedMessage{Key: all[i].Key, Message: directory.Message{Pin: &all[i]}}
	}
	granted := make([]bool, len(all))
	for i, replies := range k.sendToHolders(ctx, keyed) {
		granted[i] = len(replies) > 0 && !slices.ContainsFunc(replies, func(r directory.Reply) bool {
			return r.Effect.Outcome != directory.Applied
		})
	}
	return granted
}

// Unpin implements Cache.
func (k *cache) Unpin(ctx context.Context, all []directory.Pin) {
	keyed := make([]directory.KeyedMessage, len(all))
	for i := range all {
		keyed[i] = directory.KeyedMessage{Key: all[i].Key, Message: directory.Message{Unpin: &all[i]}}
	}
	k.sendToHolders(ctx, keyed)
}

// sendToHolders sends each message to the holders of its key with one call to each node,
// and returns the received replies by message.
func (k *cache) sendToHolders(ctx context.Context, all []directory.KeyedMessage) [][]directory.Reply {
	replies := make([][]directory.Reply, len(all))
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, b := range k.ring.NodeBatches(all) {
		calls.Go(func() {
			r, err := k.exchange(ctx, b)
			if err != nil || len(r.Batch) != len(b.Indexes) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for i, at := range b.Indexes {
				replies[at] = append(replies[at], r.Batch[i])
			}
		})
	}
	calls.Wait()
	return replies
}

func (k *cache) exchange(ctx context.Context, b directory.NodeBatch) (directory.Reply, error) {
	if b.To == k.Self {
		return directory.Serve(k.Directory, k.Now(), b.Message), nil
	}
	return k.call(ctx, b.To, b.Message)
}

// post applies a message locally or queues it for its entry.
func (k *cache) post(now time.Time, e directory.Envelope) {
	if e.To == k.Self {
		k.recordListingRequest(e.Message, directory.Serve(k.Directory, now, e.Message))
		return
	}
	k.outbox.Post(e.To, e.Message)
}

func (k *cache) send(ctx context.Context, node string, m directory.Message) {
	if r, err := k.call(ctx, node, m); err == nil {
		k.recordListingRequest(m, r)
	}
}

// recordListingRequest records that a holder wants a listing until the request is passed to the engine.
func (k *cache) recordListingRequest(m directory.Message, r directory.Reply) {
	if !r.Effect.ListingWanted {
		return
	}
	if m.Update != nil {
		k.listingRequests.Add(m.Update.Engine)
	}
	if m.Listing != nil {
		k.listingRequests.Add(m.Listing.Engine)
	}
}

func (k *cache) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		k.EachIncarnation(func(identity string, incarnation uint64) {
			k.Directory.ObserveIncarnation(k.Now(), identity, incarnation)
		})
		k.Directory.Sweep(k.Now())
		for _, d := range k.Directory.Deletable(k.Now()) {
			k.remove(ctx, d)
		}
	}
}

// remove deletes a piece without pins; the piece stays in Deletable until the store confirms the deletion.
func (k *cache) remove(ctx context.Context, d directory.Deletion) {
	if err := k.Deleter.Delete(ctx, d); err != nil {
		return
	}
	k.Change(ctx, directory.StoreChange{
		Store:       d.Store,
		Incarnation: k.Incarnation(d.Store),
		Key:         d.Key,
		To:          directory.Freed,
		Generation:  d.Generation,
	})
}
