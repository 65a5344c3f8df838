package sitecontrol

import (
	"context"
	"sync"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/topic"
)

// followEpochs starts and ends the restart checks of the stores; the caller holds sf.mu.
func (sf *storeFollower) followEpochs(ctx context.Context, all *sync.WaitGroup, wanted map[string]document.Store) {
	for a := range wanted {
		if _, ok := sf.restartChecks[a]; ok {
			continue
		}
		following, cancel := context.WithCancel(ctx)
		sf.restartChecks[a] = cancel
		all.Go(func() { sf.watchEpoch(following, a) })
	}
	for a, cancel := range sf.restartChecks {
		if _, ok := wanted[a]; !ok {
			cancel()
			delete(sf.restartChecks, a)
		}
	}
}

// watchEpoch shows which start of a store answers, until ctx ends.
//
// An entry keeps using the last lease holder's rows of the stores until another replica
// holds the lease. A store that restarts meanwhile is empty, and parts that are saved to
// it again aren't whole yet. The entry must therefore learn of the restart from replicas
// that don't hold the lease.
func (sf *storeFollower) watchEpoch(ctx context.Context, address string) {
	next := int64(0)
	for ctx.Err() == nil {
		polling, cancel := context.WithTimeout(ctx, eventsTimeout)
		f, err := sf.client.Events(polling, address, next, eventsWait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.Epoch = 0
		} else {
			sf.starts.record(address, f.Epoch, time.Now())
		}
		sf.clock.Observe(f.Clock)
		next = f.Next
		sf.put(topic.StoreEpochs, address, f.Epoch)
		wait.For(ctx, epochPause)
	}
}
