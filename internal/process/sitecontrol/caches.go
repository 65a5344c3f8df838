package sitecontrol

import (
	"context"
	"maps"
	"sync"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

const (
	// cachesInterval is the time between two looks which engines announce themselves here.
	cachesInterval = 200 * time.Millisecond
	// cachePause is the time between two polls of an engine while there are few
	// entries: what came meanwhile travels in one row.
	cachePause = 200 * time.Millisecond
	// manyCachePause is the time where there are many: each row goes to all of them.
	manyCachePause = time.Second
)

// caches follows what lies in the memory of the engines that announce themselves
// to this replica.
//
// An entry that guesses it from the requests that it sent is wrong once an engine
// has dropped a part for a running request: the part is then read again, where it
// could have been fetched, and its request is late. Each engine announces itself
// to one replica, so that the replicas share the work and one that is lost leaves
// its engines to the others.
type caches struct {
	*process
	client stores.Client

	following map[string]context.CancelFunc
}

// run follows engines until ctx ends.
func (c *caches) run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		c.follow(ctx, &all)
		if !wait.For(ctx, cachesInterval) {
			return
		}
	}
}

// follow begins with engines that have come and leaves those that are gone.
func (c *caches) follow(ctx context.Context, all *sync.WaitGroup) {
	wanted := map[string]directory.Server{}
	for _, s := range (engines{c.process}).Engines() {
		if s.Home == c.config.Host.Internal {
			wanted[cacheKey(s)] = s
		}
	}
	for key, stop := range c.following {
		if _, ok := wanted[key]; !ok {
			stop()
			delete(c.following, key)
		}
	}
	for key, s := range wanted {
		if _, ok := c.following[key]; ok {
			continue
		}
		following, stop := context.WithCancel(ctx)
		c.following[key] = stop
		all.Go(func() { c.watch(following, s) })
	}
}

// cacheKey names one start of an engine.
func cacheKey(s directory.Server) string {
	return stores.Part{Salt: s.ID, ID: time.UnixMilli(s.StartedAt).String()}.Key(s.Address)
}

// watch shows what one engine keeps until ctx ends; nothing is shown while the engine doesn't answer.
func (c *caches) watch(ctx context.Context, s directory.Server) {
	defer c.relay.dropCache(s.ID)
	k := stores.NewEngineInventory(longPart)
	for ctx.Err() == nil {
		if err := c.poll(ctx, s, k); err != nil {
			c.relay.dropCache(s.ID)
			k = stores.NewEngineInventory(longPart)
			wait.For(ctx, storePause)
			continue
		}
		c.relay.putCache(s.ID, topic.EngineCache{StartedAt: s.StartedAt, MinPartTokens: longPart, Parts: maps.Clone(k.Parts())})
		wait.For(ctx, c.pause())
	}
}

// pause returns the time between two polls of an engine.
func (c *caches) pause() time.Duration {
	if c.watched.Entries() > watch.MaxSingleRelayEntries {
		return manyCachePause
	}
	return time.Duration(1+c.relay.entries.Entries()/entriesPerInterval) * cachePause
}

// poll takes one answer of the engine, and the whole list when events were lost.
func (c *caches) poll(ctx context.Context, s directory.Server, k *stores.EngineInventory) error {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	f, err := c.client.Events(ctx, s.Address, k.Next(), eventsWait)
	if err != nil {
		return err
	}
	if k.ApplyFeed(f) {
		return nil
	}
	l, err := c.client.List(ctx, s.Address)
	if err == nil {
		k.ApplyListing(l)
	}
	return err
}
