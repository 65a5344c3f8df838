package sitecontrol

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/node/boottime"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
)

const (
	// eventsWait is how long a store may hold a poll. It is long enough that the poll doesn't count as a probe.
	eventsWait = 900 * time.Millisecond
	// eventsTimeout bounds a poll.
	eventsTimeout = 2 * time.Second
	// storeRetryPause is the time before another try at a store or engine that doesn't answer.
	storeRetryPause = 300 * time.Millisecond
	// epochPause is the time between two checks of whether a store has restarted; a
	// restart takes seconds.
	epochPause = 400 * time.Millisecond
	// followInterval is the time between two checks for the lease and for new stores.
	// Entries know no stores until the lease holder lists them.
	followInterval = 40 * time.Millisecond
	// freeInterval is the time between two searches for parts to free.
	freeInterval = 500 * time.Millisecond
	// maxUsedShare is the share of a store's capacity that may be used before its oldest
	// parts are withdrawn. It lies above the share up to which entries save parts to a
	// store while another one has free capacity, so that nothing is withdrawn while there
	// is free capacity anywhere.
	maxUsedShare = 0.96
	// listInterval is the time between two lists of a store. Some of its events are
	// lost, and a part that isn't known is never freed.
	listInterval = 20 * time.Second
	// longPartTokens is the size from which on a part is shown at once.
	longPartTokens = 1024
	// freeBatch bounds the parts of one call.
	freeBatch = 256
)

// storeFollower follows the stores while this replica holds the lease, shows their parts and frees old ones.
type storeFollower struct {
	*process
	client stores.Client
	clock  *stores.Clock

	mu       sync.Mutex
	followed map[string]*followedStore
	// restartChecks holds the cancel function of each store's restart check.
	restartChecks map[string]context.CancelFunc
	starts        *storeStarts
	// shortPartsQueue holds the short parts that are still to be shown.
	shortPartsQueue []shortParts
}

// run follows the document's stores until ctx ends.
func (sf *storeFollower) run(ctx context.Context) {
	follow, free := time.NewTicker(followInterval), time.NewTicker(freeInterval)
	defer follow.Stop()
	defer free.Stop()
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { sf.showShortParts(ctx) })
	for {
		sf.follow(ctx, &all)
		select {
		case <-ctx.Done():
			return
		case <-follow.C:
		case <-free.C:
			sf.free(ctx, &all)
		}
	}
}

// follow starts following new stores and stops following removed ones. Without the
// lease it only checks whether they have restarted.
func (sf *storeFollower) follow(ctx context.Context, all *sync.WaitGroup) {
	wanted := map[string]document.Store{}
	if active, ok := sf.section.Active(); ok {
		for _, s := range active.Document.Stores {
			wanted[s.Address] = s
		}
	}
	sf.mu.Lock()
	defer sf.mu.Unlock()
	sf.followEpochs(ctx, all, wanted)
	fencing, ok := sf.leaseHolder.showable()
	if !ok {
		wanted = nil
	}
	for a, x := range sf.followed {
		if _, ok := wanted[a]; !ok || x.fencing != fencing {
			x.unfollow()
			delete(sf.followed, a)
		}
	}
	for a, s := range wanted {
		if _, ok := sf.followed[a]; ok {
			continue
		}
		following, cancel := context.WithCancel(ctx)
		x := &followedStore{fencing: fencing, inventory: stores.NewStoreInventory(a, s.CapacityTokens), clock: stores.NewClock(), cancel: cancel}
		sf.followed[a] = x
		all.Go(func() { sf.watch(following, x) })
	}
}

// watch polls one store until ctx ends.
func (sf *storeFollower) watch(ctx context.Context, x *followedStore) {
	for ctx.Err() == nil {
		err := sf.poll(ctx, x)
		if ctx.Err() != nil {
			return
		}
		sf.showStoreState(x, sf.usable(x, err))
		if err != nil {
			wait.For(ctx, storeRetryPause)
		}
	}
}

// usable returns err, or the reason why a store that answers isn't used.
func (sf *storeFollower) usable(x *followedStore, err error) error {
	if err == nil && !sf.starts.restartPropagated(x.inventory.Address, time.Now()) {
		return errRestarted
	}
	return err
}

// showStoreState shows whether the store is used when that has changed or was never shown.
//
// Entries use a new lease holder's rows only once there is one for every store. A store
// that is down when the lease changes hands therefore needs a row too.
func (sf *storeFollower) showStoreState(x *followedStore, err error) {
	state := topic.StoreState{}
	if err == nil {
		state = topic.StoreState{Usable: true, Epoch: x.epoch()}
	}
	if x.reported && x.state == state {
		return
	}
	x.reported, x.state = true, state
	putLeased(sf.process, x.fencing, topic.StoreStates, x.inventory.Address, state)
	f := log.Fields{"store": x.inventory.Address, "up": state.Usable, "epoch": state.Epoch, "fencing": x.fencing}
	if err != nil {
		f["error"] = err.Error()
	}
	event.StoreLost.Write(sf.config.Logger, f)
}

// poll requests and applies one answer of the store.
func (sf *storeFollower) poll(ctx context.Context, x *followedStore) error {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	x.mu.Lock()
	next := x.inventory.Next()
	x.mu.Unlock()
	f, err := sf.client.Events(ctx, x.inventory.Address, next, eventsWait)
	if err != nil {
		return err
	}
	sf.clock.Observe(f.Clock)
	x.clock.Observe(f.Clock)
	sf.starts.record(x.inventory.Address, f.Epoch, time.Now())
	if err := sf.usable(x, nil); err != nil {
		// Entries must learn that the store isn't used before they learn that it is empty.
		sf.showStoreState(x, err)
	}
	x.mu.Lock()
	changed, list := x.inventory.ApplyFeed(f, time.Now())
	x.mu.Unlock()
	if list || time.Since(x.listedAt) > listInterval {
		return sf.list(ctx, x)
	}
	sf.showParts(x, changed)
	return nil
}

// list requests the whole inventory of the store and shows what has changed.
func (sf *storeFollower) list(ctx context.Context, x *followedStore) error {
	c, err := sf.client.List(ctx, x.inventory.Address)
	if err != nil {
		return err
	}
	sf.clock.Observe(c.Clock)
	x.clock.Observe(c.Clock)
	first := x.listedAt.IsZero()
	x.listedAt = time.Now()
	x.mu.Lock()
	changed := x.inventory.ApplyListing(c, time.Now())
	x.mu.Unlock()
	event.StoreListed.Write(sf.config.Logger, log.Fields{"store": x.inventory.Address, "epoch": c.Epoch, "parts": len(c.Held), "partial": len(c.Partial)})
	if !first {
		sf.showParts(x, changed)
		return nil
	}
	long, short := bySize(changed, c.Held)
	sf.showStoreParts(x, "long", true, long)
	sf.queueShortParts(x, short)
	return nil
}

// use records the parts that were requested as used now.
func (sf *storeFollower) use(hashes []uint64) {
	now := time.Now()
	sf.mu.Lock()
	defer sf.mu.Unlock()
	for _, x := range sf.followed {
		x.mu.Lock()
		for _, h := range hashes {
			x.inventory.Touch(h, now)
		}
		x.mu.Unlock()
	}
}

// free withdraws parts that are no longer of use, and frees those that were withdrawn long enough ago. A store that
// doesn't answer holds up no other one.
func (sf *storeFollower) free(ctx context.Context, all *sync.WaitGroup) {
	if _, ok := sf.leaseHolder.mayOrder(); !ok || !sf.leaseHolder.heldFor(stores.StaleAfter+stores.FetchWindow) {
		return
	}
	sf.mu.Lock()
	followed := slices.Collect(maps.Values(sf.followed))
	sf.mu.Unlock()
	outdated := sf.outdated()
	for _, x := range followed {
		sf.withdraw(x, outdated)
		if x.freeing.CompareAndSwap(false, true) {
			all.Go(func() {
				defer x.freeing.Store(false)
				sf.freeParts(ctx, x)
			})
		}
	}
}

// withdraw withdraws the parts of a store that are no longer of use.
func (sf *storeFollower) withdraw(x *followedStore, outdated func(stores.Part) bool) {
	x.mu.Lock()
	marked := x.inventory.Withdraw(outdated, maxUsedShare, time.Now())
	x.mu.Unlock()
	revision := sf.showParts(x, marked)
	x.mu.Lock()
	x.inventory.MarkAnnounced(marked, revision)
	x.mu.Unlock()
}

// acknowledgedRevision returns the table's revision up to which all entries have the rows.
// Only entries that polled within StaleAfter, either this replica directly or any relay, count.
func (sf *storeFollower) acknowledgedRevision() uint64 {
	return min(sf.watchServer.AcknowledgedRevision(stores.StaleAfter), sf.relay.mirrors.AcknowledgedRevision(sf.relay.self, stores.StaleAfter))
}

// freeParts frees the parts of a store that were withdrawn long enough ago, at most freeBatch of them.
//
// This process may be suspended between any two steps. Another replica may then hold the lease and show the parts
// again, so the store must refuse an order that arrives after the lease. The order's time limit is therefore
// computed from a clock that is read before the lease is looked at.
func (sf *storeFollower) freeParts(ctx context.Context, x *followedStore) {
	x.mu.Lock()
	due, epoch := x.inventory.Freeable(sf.acknowledgedRevision(), time.Now()), x.inventory.Epoch()
	x.mu.Unlock()
	clock := x.clock.Now()
	if len(due) == 0 || clock == 0 {
		return
	}
	due = due[:min(len(due), freeBatch)]
	permit, ok := sf.leaseHolder.permit(orderMargin)
	if !ok {
		return
	}
	if x.isUnfollowed() {
		// The parts were shown again under a later grant of the lease.
		sf.leaseHolder.end(permit, true)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	until := clock + permit.validFor().Milliseconds()
	err := sf.client.Free(ctx, x.inventory.Address, epoch, due, until)
	sf.leaseHolder.end(permit, err == nil)
	f := log.Fields{
		"store": x.inventory.Address, "parts": len(due), "fencing": permit.fencing, "until-ms": until,
		"ms": (boottime.Now() - permit.permittedAt).Milliseconds(),
	}
	if err != nil {
		f["error"] = err.Error()
	} else {
		x.mu.Lock()
		x.inventory.Remove(due)
		x.mu.Unlock()
	}
	event.PartsFreed.Write(sf.config.Logger, f)
}
