package sitecontrol

import (
	"context"
	"sync"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/topic"
)

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
		} else {
			l.starts.note(address, f.Epoch, time.Now())
		}
		l.clock.Observe(f.Clock)
		next = f.Next
		l.put(topic.Epochs, address, f.Epoch)
		wait.For(ctx, epochPause)
	}
}
