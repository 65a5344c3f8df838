package sitecontrol

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
)

const (
	// eventsWait is how long a store may hold a poll: long enough not to count as a probe.
	eventsWait = 900 * time.Millisecond
	// eventsTimeout bounds a poll.
	eventsTimeout = 2 * time.Second
	// storePause is the time between two tries at a store that doesn't answer.
	storePause = 300 * time.Millisecond
	// epochPause is the time between two looks whether a store has restarted: a
	// restart takes seconds.
	epochPause = 400 * time.Millisecond
	// followInterval is the time between two looks whether this replica has got the
	// lease, or stores have come: entries know of no store until its holder lists them.
	followInterval = 40 * time.Millisecond
	// freeInterval is the time between two looks for parts to free.
	freeInterval = 500 * time.Millisecond
	// fullShare is the part of a store's room that may be taken before its oldest
	// parts go. It lies above the share up to which entries send parts to a store
	// while another one has room, so that nothing goes while there is room anywhere.
	fullShare = 0.96
	// listInterval is the time between two lists of a store: some of its events
	// never come, and what isn't known to be there is never freed.
	listInterval = 20 * time.Second
	// longPart is the size in tokens from which on a part is shown at once.
	longPart = 1024
	// freeBatch bounds the parts of one call.
	freeBatch = 256
)

// librarian follows the stores while this replica holds the lease.
type librarian struct {
	*process
	client stores.Client
	clock  *stores.Clock

	mu      sync.Mutex
	shelves map[string]*shelf
	// epochs ends the looks at each store whether it has restarted.
	epochs map[string]context.CancelFunc
	starts *starts
	// shorts are the short parts of stores that are still to be shown.
	shorts []shortParts
}

// run follows the document's stores until ctx ends.
func (l *librarian) run(ctx context.Context) {
	follow, free := time.NewTicker(followInterval), time.NewTicker(freeInterval)
	defer follow.Stop()
	defer free.Stop()
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { l.showShorts(ctx) })
	for {
		l.follow(ctx, &all)
		select {
		case <-ctx.Done():
			return
		case <-follow.C:
		case <-free.C:
			l.free(ctx)
		}
	}
}

// follow begins with stores that are new and leaves those that are gone; without
// the lease it only looks whether they have restarted.
func (l *librarian) follow(ctx context.Context, all *sync.WaitGroup) {
	wanted := map[string]document.Store{}
	if h, ok := l.section.Active(); ok {
		for _, s := range h.Document.Stores {
			wanted[s.Address] = s
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followEpochs(ctx, all, wanted)
	if l.holder.number() == 0 {
		wanted = nil
	}
	for a, s := range wanted {
		if _, ok := l.shelves[a]; ok {
			continue
		}
		following, cancel := context.WithCancel(ctx)
		x := &shelf{stock: stores.NewStoreInventory(a, s.CapacityTokens), cancel: cancel}
		l.shelves[a] = x
		all.Go(func() { l.watch(following, x) })
	}
	for a, x := range l.shelves {
		if _, ok := wanted[a]; !ok {
			x.leave()
			delete(l.shelves, a)
		}
	}
}

// watch polls one store until ctx ends.
func (l *librarian) watch(ctx context.Context, x *shelf) {
	for ctx.Err() == nil {
		err := l.poll(ctx, x)
		if ctx.Err() != nil {
			return
		}
		l.showUp(x, l.usable(x, err))
		if err != nil {
			wait.For(ctx, storePause)
		}
	}
}

// usable returns err, or why a store that answers isn't used.
func (l *librarian) usable(x *shelf, err error) error {
	if err == nil && !l.starts.settled(x.stock.Address, time.Now()) {
		return errRestarted
	}
	return err
}

// showUp shows whether the store answers when that has changed, or was never shown.
//
// Entries go by a new holder's word once it has told of every store. One that is down
// when the lease changes hands must be told of too.
func (l *librarian) showUp(x *shelf, err error) {
	up := err == nil
	if x.asked && x.up == up {
		return
	}
	x.asked, x.up = true, up
	l.put(topic.StoresUp, x.stock.Address, up)
	f := log.Fields{"store": x.stock.Address, "up": up}
	if err != nil {
		f["error"] = err.Error()
	}
	event.StoreLost.Write(l.config.Logger, f)
}

// poll takes one answer of the store.
func (l *librarian) poll(ctx context.Context, x *shelf) error {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	x.mu.Lock()
	next := x.stock.Next()
	x.mu.Unlock()
	f, err := l.client.Events(ctx, x.stock.Address, next, eventsWait)
	if err != nil {
		return err
	}
	l.clock.Observe(f.Clock)
	l.starts.note(x.stock.Address, f.Epoch, time.Now())
	if err := l.usable(x, nil); err != nil {
		// Entries must hear that it isn't used before they hear that it is empty.
		l.showUp(x, err)
	}
	x.mu.Lock()
	changed, list := x.stock.ApplyFeed(f, time.Now())
	x.mu.Unlock()
	if list || time.Since(x.listed) > listInterval {
		return l.list(ctx, x)
	}
	l.show(x, changed)
	return nil
}

func (l *librarian) list(ctx context.Context, x *shelf) error {
	c, err := l.client.List(ctx, x.stock.Address)
	if err != nil {
		return err
	}
	l.clock.Observe(c.Clock)
	first := x.listed.IsZero()
	x.listed = time.Now()
	x.mu.Lock()
	changed := x.stock.ApplyListing(c, time.Now())
	x.mu.Unlock()
	event.StoreListed.Write(l.config.Logger, log.Fields{"store": x.stock.Address, "epoch": c.Epoch, "parts": len(c.Held), "partial": len(c.Partial)})
	if !first {
		l.show(x, changed)
		return nil
	}
	long, short := bySize(changed, c.Held)
	l.showShelf(x, "long", true, long)
	l.later(x, short)
	return nil
}

// use notes which parts were asked for.
func (l *librarian) use(hashes []uint64) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range l.shelves {
		x.mu.Lock()
		for _, h := range hashes {
			x.stock.Touch(h, now)
		}
		x.mu.Unlock()
	}
}

// free withdraws what is of no use any more, and drops what was withdrawn long enough ago.
func (l *librarian) free(ctx context.Context) {
	if _, ok := l.holder.held(); !ok || !l.holder.settled(stores.StaleAfter+stores.FetchWindow) {
		return
	}
	l.mu.Lock()
	all := make([]*shelf, 0, len(l.shelves))
	for _, x := range l.shelves {
		all = append(all, x)
	}
	l.mu.Unlock()
	outdated := l.outdated()
	for _, x := range all {
		now := time.Now()
		x.mu.Lock()
		marked := x.stock.Withdraw(outdated, fullShare, now)
		x.mu.Unlock()
		number := l.show(x, marked)
		x.mu.Lock()
		x.stock.MarkAnnounced(marked, number)
		due, epoch := x.stock.Freeable(l.known(), now), x.stock.Epoch()
		x.mu.Unlock()
		l.drop(ctx, x, due, epoch)
	}
}

// known returns the board's number up to which all entries have the rows that were
// heard within StaleAfter, by this replica, as a relay or by others.
func (l *librarian) known() uint64 {
	return min(l.watched.AcknowledgedRevision(stores.StaleAfter), l.relay.leads.AcknowledgedRevision(l.relay.self, stores.StaleAfter))
}

func (l *librarian) drop(ctx context.Context, x *shelf, due []stores.Part, epoch int64) {
	clock := l.clock.Now()
	if len(due) == 0 || clock == 0 {
		return
	}
	due = due[:min(len(due), freeBatch)]
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	err := l.client.Free(ctx, x.stock.Address, epoch, due, clock+orderMargin.Milliseconds())
	f := log.Fields{"store": x.stock.Address, "parts": len(due)}
	if err != nil {
		f["error"] = err.Error()
	} else {
		x.mu.Lock()
		x.stock.Remove(due)
		x.mu.Unlock()
	}
	event.PartsFreed.Write(l.config.Logger, f)
}
