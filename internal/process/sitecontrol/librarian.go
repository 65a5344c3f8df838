package sitecontrol

import (
	"context"
	"strconv"
	"strings"
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
	// longPart is the size in tokens from which on a part is shown at once. A replica
	// that has just got the lease owes all parts to every entry, and most are short ones:
	// those of one store follow those of the other, so far apart that they take whoever
	// tells entries of them a third of its time. partTime is what one part to one entry
	// takes, shortPause the longest pause after a store.
	longPart   = 1024
	shortShare = 1.0 / 3
	partTime   = 5 * time.Microsecond
	shortPause = time.Second
	// freeAhead is the part of the old weights' parts that goes ahead of the engines.
	freeAhead = 0.25
	// hashSteps is how finely parts are told apart by their hash.
	hashSteps = 1000
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
	// shorts are the short parts of stores that are still to be shown.
	shorts []shortParts
}

// shortParts are the short parts of a store as it was first listed.
type shortParts struct {
	shelf *shelf
	parts []stores.Part
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
	if h, ok := l.section.Held(); ok {
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
		x := &shelf{stock: stores.NewShelf(a, s.Tokens), cancel: cancel}
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

// followEpochs looks at each store whether it has restarted; the caller holds the lock.
func (l *librarian) followEpochs(ctx context.Context, all *sync.WaitGroup, wanted map[string]document.Store) {
	for a := range wanted {
		if _, ok := l.epochs[a]; ok {
			continue
		}
		following, cancel := context.WithCancel(ctx)
		l.epochs[a] = cancel
		all.Go(func() { l.watchEpoch(following, a) })
	}
	for a, cancel := range l.epochs {
		if _, ok := wanted[a]; !ok {
			cancel()
			delete(l.epochs, a)
		}
	}
}

// watchEpoch shows which start of a store answers, until ctx ends.
//
// An entry goes on with what the last holder of the lease told of the stores
// until another replica holds it. A store that restarts meanwhile is empty, and
// what is written there anew isn't whole; the entry must hear of the restart from
// a replica that doesn't hold the lease.
func (l *librarian) watchEpoch(ctx context.Context, address string) {
	next := int64(0)
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, eventsTimeout)
		f, err := l.client.Events(asking, address, next, eventsWait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.Epoch = 0
		}
		l.clock.Heard(f.Clock)
		next = f.Next
		l.put(topic.Epochs, address, f.Epoch)
		wait.For(ctx, epochPause)
	}
}

// watch polls one store until ctx ends.
func (l *librarian) watch(ctx context.Context, x *shelf) {
	for ctx.Err() == nil {
		err := l.poll(ctx, x)
		if ctx.Err() != nil {
			return
		}
		l.showUp(x, err)
		if err != nil {
			wait.For(ctx, storePause)
		}
	}
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
	l.clock.Heard(f.Clock)
	x.mu.Lock()
	changed, list := x.stock.Take(f, time.Now())
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
	l.clock.Heard(c.Clock)
	first := x.listed.IsZero()
	x.listed = time.Now()
	x.mu.Lock()
	changed := x.stock.TakeList(c, time.Now())
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

// later has the short parts of a store shown after those of the stores before it.
func (l *librarian) later(x *shelf, short []stores.Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shorts = append(l.shorts, shortParts{x, short})
}

// showShorts shows the short parts of one store after the other until ctx ends.
func (l *librarian) showShorts(ctx context.Context) {
	for pause := followInterval; wait.For(ctx, pause); {
		l.mu.Lock()
		if len(l.shorts) == 0 {
			l.mu.Unlock()
			pause = followInterval
			continue
		}
		next := l.shorts[0]
		l.shorts = l.shorts[1:]
		l.mu.Unlock()
		l.showShelf(next.shelf, "short", false, next.parts)
		pause = pauseOfShort(len(next.parts), servedTogether(l.watched.Entries(), len(l.replica.Status().Members)))
	}
}

// use notes which parts were asked for.
func (l *librarian) use(hashes []uint64) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range l.shelves {
		x.mu.Lock()
		for _, h := range hashes {
			x.stock.Use(h, now)
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
		x.stock.Told(marked, number)
		due, epoch := x.stock.Due(l.known(), now), x.stock.Epoch()
		x.mu.Unlock()
		l.drop(ctx, x, due, epoch)
	}
}

// known returns the board's number up to which all entries have the rows that were
// heard within StaleAfter, by this replica, as a relay or by others.
func (l *librarian) known() uint64 {
	return min(l.watched.Known(stores.StaleAfter), l.relay.leads.Known(l.relay.self, stores.StaleAfter))
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
		x.stock.Freed(due)
		x.mu.Unlock()
	}
	event.PartsFreed.Write(l.config.Logger, f)
}

// outdated returns what tells the parts of older weights that make room for those of newer ones.
//
// While engines load one after the other, old and new parts are wanted side by
// side and the stores hold but one set. So as many of the old parts go as
// engines have left the old weights, and a little ahead of them, since a part
// stays for some seconds after entries were told that it goes.
func (l *librarian) outdated() func(stores.Part) bool {
	current, share := map[string]int64{}, map[string]float64{}
	e := engines{l.process}
	for model, named := range l.section.Versions() {
		older, all := 0, 0
		for _, s := range e.Engines() {
			if _, ok := s.Version(model); !ok {
				continue
			}
			all++
			if e.Version(s, model) < named {
				older++
			}
		}
		if all > 0 && older < all {
			current[model] = named
			share[model] = min(1, float64(all-older)/float64(all)+freeAhead)
		}
	}
	return func(p stores.Part) bool {
		model, version, ok := saltVersion(p.Salt)
		return ok && version < current[model] && float64(p.Hash()%hashSteps) < share[model]*hashSteps
	}
}

// saltVersion returns the model and the version that a salt names.
func saltVersion(salt string) (string, int64, bool) {
	fields := strings.Split(salt, "/")
	if len(fields) < 2 {
		return "", 0, false
	}
	n, err := strconv.ParseInt(fields[1], 10, 64)
	return fields[0], n, err == nil
}
