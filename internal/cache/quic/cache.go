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
	// callTimeout bounds one call to another entry.
	callTimeout = 300 * time.Millisecond
	// failedPause is how long an entry that did not answer is not asked for locations.
	failedPause = 2 * time.Second
	// sweepInterval is how often memory is freed and pieces are deleted.
	sweepInterval = time.Second
	// outboxLength bounds what waits for one entry; a lost batch shows there as a gap.
	outboxLength = 1024
)

var exchange = rpc.Method[directory.Message, directory.Reply]{
	Name:  "cache-directory",
	Roles: []keys.Role{keys.Entry},
}

// Cache is the directory of the whole cell as one entry sees it.
type Cache interface {
	// Lookup returns the locations of the keys in their order; what an entry that does not answer holds is left out.
	Lookup(ctx context.Context, keys []block.Key) directory.Locations
	// Report passes an engine's report on to the holders of its keys and returns whether a listing is wanted.
	Report(now time.Time, r events.Report) bool
	// Change tells the holders of the keys about steps in the life of their pieces in stores.
	Change(ctx context.Context, all ...directory.StoreChange)
	// Pin keeps sealed pieces from being freed and returns for each whether that was granted.
	Pin(ctx context.Context, all []directory.Pin) []bool
	// Unpin takes pins back.
	Unpin(ctx context.Context, all []directory.Pin)
	// Close ends the goroutines.
	Close()
}

type cache struct {
	Config
	ring    directory.Ring
	wants   directory.ListingRequests
	cancel  context.CancelFunc
	running sync.WaitGroup
	outbox  outbox.Outbox[directory.Message]

	mu     sync.Mutex
	failed map[string]time.Time
}

// New registers the receiver and starts to serve this entry's share; it is called before the node serves.
func New(c Config) Cache {
	ctx, cancel := context.WithCancel(context.Background())
	k := &cache{
		Config: c,
		wants:  directory.NewListingRequests(),
		cancel: cancel,
		failed: make(map[string]time.Time),
	}
	k.outbox = outbox.New(outbox.Config[directory.Message]{Length: outboxLength, Send: k.send})
	nodes := append(slices.Collect(maps.Keys(c.Addresses)), c.Self)
	k.ring = directory.NewRing(nodes)
	rpc.Handle(c.Node, exchange, func(_ context.Context, _ rpc.Peer, m directory.Message) (directory.Reply, error) {
		return directory.Serve(c.Directory, c.Now(), m), nil
	})
	k.running.Go(func() { k.sweep(ctx) })
	k.running.Go(func() { k.relearn(ctx) })
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
	q := k.ring.Query(all, k.down)
	parts := q.Parts()
	answers := make([]directory.Locations, len(parts))
	var asked sync.WaitGroup
	for i, p := range parts {
		if p.To == k.Self {
			answers[i] = k.Directory.Lookup(p.Lookup.Keys)
			continue
		}
		asked.Go(func() {
			r, _ := k.call(ctx, p.To, directory.Message{Lookup: &p.Lookup})
			answers[i] = r.Locations
		})
	}
	asked.Wait()
	return q.Join(answers)
}

// down says whether an entry failed to answer a moment ago; its second holder is asked instead.
func (k *cache) down(node string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, ok := k.failed[node]
	return ok && k.Now().Sub(t) < failedPause
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
	return k.wants.Take(r.Identity)
}

// Change implements Cache.
func (k *cache) Change(ctx context.Context, all ...directory.StoreChange) {
	keyed := make([]directory.KeyedMessage, len(all))
	for i := range all {
		keyed[i] = directory.KeyedMessage{Key: all[i].Key, Message: directory.Message{Store: &all[i]}}
	}
	k.each(ctx, keyed)
}

// Pin implements Cache.
//
// Both holders of a key may free its piece, each when its own pins are gone. A
// pin counts when every holder that answers has granted it and at least one did.
func (k *cache) Pin(ctx context.Context, all []directory.Pin) []bool {
	keyed := make([]directory.KeyedMessage, len(all))
	for i := range all {
		keyed[i] = directory.KeyedMessage{Key: all[i].Key, Message: directory.Message{Pin: &all[i]}}
	}
	granted := make([]bool, len(all))
	for i, replies := range k.each(ctx, keyed) {
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
	k.each(ctx, keyed)
}

// each sends each message to the holders of its key, one exchange with each
// node, and returns the replies that came, by message.
func (k *cache) each(ctx context.Context, all []directory.KeyedMessage) [][]directory.Reply {
	replies := make([][]directory.Reply, len(all))
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, b := range k.ring.NodeBatches(all) {
		asked.Go(func() {
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
	asked.Wait()
	return replies
}

func (k *cache) exchange(ctx context.Context, b directory.NodeBatch) (directory.Reply, error) {
	if b.To == k.Self {
		return directory.Serve(k.Directory, k.Now(), b.Message), nil
	}
	return k.call(ctx, b.To, b.Message)
}

// post carries out a message here or queues it for its entry.
func (k *cache) post(now time.Time, e directory.Envelope) {
	if e.To == k.Self {
		k.note(e.Message, directory.Serve(k.Directory, now, e.Message))
		return
	}
	k.outbox.Post(e.To, e.Message)
}

func (k *cache) send(ctx context.Context, node string, m directory.Message) {
	if r, err := k.call(ctx, node, m); err == nil {
		k.note(m, r)
	}
}

// note remembers that a holder wants a listing until the engine is told.
func (k *cache) note(m directory.Message, r directory.Reply) {
	if !r.Effect.ListingWanted {
		return
	}
	if m.Update != nil {
		k.wants.Add(m.Update.Engine)
	}
	if m.Listing != nil {
		k.wants.Add(m.Listing.Engine)
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
		k.Each(func(identity string, incarnation uint64) {
			k.Directory.ObserveIncarnation(k.Now(), identity, incarnation)
		})
		k.Directory.Sweep(k.Now())
		for _, d := range k.Directory.Deletable(k.Now()) {
			k.remove(ctx, d)
		}
	}
}

// remove deletes a piece whose pins are gone; until the store confirms it the piece stays in Deletable.
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
