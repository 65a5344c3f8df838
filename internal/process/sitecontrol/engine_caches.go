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
	// engineListInterval is the time between two checks of which engines announce themselves here.
	engineListInterval = 200 * time.Millisecond
	// enginePollPause is the time between two polls of an engine while there are few
	// entries. Changes in between are sent in one row.
	enginePollPause = 200 * time.Millisecond
	// largeSitePollPause is the time between two polls on a large site, where each row goes to many entries.
	largeSitePollPause = time.Second
)

// engineCacheFollower follows the cached KV in the memory of the engines that announce
// themselves to this replica.
//
// An entry that infers the cache from the requests that it sent is wrong once an engine
// has evicted a part for a running request. The engine then prefills the part again where
// it could have fetched it, and the request misses its target. Each engine announces
// itself to one replica, so that the replicas share the work. When a replica is lost, its
// engines announce themselves to the others.
type engineCacheFollower struct {
	*process
	client stores.Client

	following map[string]context.CancelFunc
}

// run follows engines until ctx ends.
func (c *engineCacheFollower) run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		c.follow(ctx, &all)
		if !wait.For(ctx, engineListInterval) {
			return
		}
	}
}

// follow starts following new engines and stops following those that are gone.
func (c *engineCacheFollower) follow(ctx context.Context, all *sync.WaitGroup) {
	wanted := map[string]directory.Server{}
	for _, s := range (weightsSite{c.process}).Engines() {
		if s.HomeReplica == c.config.Host.Internal {
			wanted[engineStartKey(s)] = s
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

// engineStartKey returns a key for one incarnation of an engine.
func engineStartKey(s directory.Server) string {
	return stores.Part{Salt: s.ID, ID: time.UnixMilli(s.StartedAt).String()}.Key(s.Address)
}

// watch shows the cache of one engine until ctx ends. Nothing is shown while the engine doesn't answer.
func (c *engineCacheFollower) watch(ctx context.Context, s directory.Server) {
	defer c.relay.dropCache(s.ID)
	inventory := stores.NewEngineInventory(longPartTokens)
	for ctx.Err() == nil {
		if err := c.poll(ctx, s, inventory); err != nil {
			c.relay.dropCache(s.ID)
			inventory = stores.NewEngineInventory(longPartTokens)
			wait.For(ctx, storeRetryPause)
			continue
		}
		c.relay.putCache(s.ID, topic.EngineCache{StartedAt: s.StartedAt, MinPartTokens: longPartTokens, Parts: maps.Clone(inventory.Parts())})
		wait.For(ctx, c.pollPause())
	}
}

// pollPause returns the time between two polls of an engine.
func (c *engineCacheFollower) pollPause() time.Duration {
	if c.watchServer.Entries() > watch.MaxSingleRelayEntries {
		return largeSitePollPause
	}
	return time.Duration(1+c.relay.entries.Entries()/entriesPerInterval) * enginePollPause
}

// poll applies one answer of the engine, and the whole list when events were lost.
func (c *engineCacheFollower) poll(ctx context.Context, s directory.Server, inventory *stores.EngineInventory) error {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	f, err := c.client.Events(ctx, s.Address, inventory.Next(), eventsWait)
	if err != nil {
		return err
	}
	if inventory.ApplyFeed(f) {
		return nil
	}
	l, err := c.client.List(ctx, s.Address)
	if err == nil {
		inventory.ApplyListing(l)
	}
	return err
}
