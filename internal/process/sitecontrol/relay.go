package sitecontrol

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

const (
	// relayInterval is the time between two checks of which relays to exchange hints with.
	relayInterval = 250 * time.Millisecond
	// peerTimeout is how long another relay's hints count after its last contact.
	peerTimeout = 2 * time.Second
	// selfMirrorPause is the time between two copies of this replica's own rows.
	selfMirrorPause = 20 * time.Millisecond
	// hintsIntervalPerEntry is how long hints are batched for each entry that the relay
	// serves, so that its answers per second don't grow with the number of entries.
	hintsIntervalPerEntry = 2 * time.Millisecond
	// holderStatesInterval is the time between two rounds of rows on stores and orders. These
	// rows change all the time, and a part is usually requested again only seconds later.
	holderStatesInterval = 250 * time.Millisecond
)

// relay exchanges hints between entries: their load at each engine, which engines
// prefill which parts, and what the engines' caches hold. To the entries of a large site
// it also passes on the lease holders' rows on stores and orders.
//
// Each entry has one relay and relays poll each other, so that no replica's work grows
// with entries times updates. Hints may be late or missing; correctness never depends
// on them.
type relay struct {
	node   rpc.Node
	self   string
	logger log.Interface
	// siteEntries returns how many entries the site has.
	siteEntries func() int
	// localHints holds the hints of the entries and engines of this replica, allHints
	// those of all relays.
	localHints, allHints rowtable.Table
	entries              watch.Server
	follower             watch.Follower
	loads                share.Aggregator
	// mirrors are copies of the lease holders' rows.
	mirrors watch.Mirrors

	mu sync.Mutex
	// peerSums holds the loads of the other relays. followedEngines holds the engines
	// whose caches each relay follows, those of this one under self.
	peerSums        map[string]share.Sum
	followedEngines map[string]map[string]bool
}

// relayConfig configures a relay.
type relayConfig struct {
	node rpc.Node
	// self is this replica's address, zone its availability zone.
	self, zone string
	epoch      uint64
	caughtUp   func() bool
	// siteEntries returns how many entries the site has.
	siteEntries func() int
	logger      log.Interface
}

func newRelay(c relayConfig) *relay {
	r := &relay{
		node: c.node, self: c.self, logger: c.logger, siteEntries: c.siteEntries, localHints: rowtable.New(c.epoch), allHints: rowtable.New(c.epoch), loads: share.NewAggregator(),
		peerSums: map[string]share.Sum{}, followedEngines: map[string]map[string]bool{},
	}
	noLease := func() (uint64, int64) { return 0, 0 }
	r.entries = watch.NewServer(watch.Config{Method: watch.Hints, Zone: c.zone, Node: c.node, Table: r.allHints, CaughtUp: c.caughtUp, Holder: noLease, RoundInterval: r.hintsInterval})
	watch.NewServer(watch.Config{
		Method: watch.Exchange, Zone: c.zone, Node: c.node, Table: r.localHints, CaughtUp: c.caughtUp, Holder: noLease,
		RoundInterval: func(int) time.Duration { return watch.LargeSiteInterval }, BatchReplicas: true,
	})
	r.mirrors = watch.NewMirrors(watch.MirrorsConfig{Node: c.node, Relayed: topic.Relayed, RoundInterval: func(int) time.Duration { return holderStatesInterval }})
	rpc.Receive(c.node, watch.Loads, func(_ rpc.Peer, l share.Report) { r.loads.Add(l, time.Now()) })
	rpc.Receive(c.node, watch.Prefills, func(_ rpc.Peer, all []watch.Prefill) { r.applyPrefills(all) })
	r.follower = watch.NewFollower(watch.FollowerConfig{
		Method: watch.Exchange, Node: c.node, Watcher: fmt.Sprintf("%s/%d", c.self, c.epoch), Apply: r.apply, Logger: c.logger,
	})
	return r
}

// prepare completes a poll of the replica at address.
func (r *relay) prepare(address string, p *watch.Poll) {
	r.mirrors.BeginPoll(address)
	p.Relay, p.Acknowledged = true, r.mirrors.AcknowledgedRevision(address, stores.StaleAfter)
}

// mirrorSelf copies this replica's own rows to the mirrors, for the entries that it serves, until ctx ends.
func (r *relay) mirrorSelf(ctx context.Context, table rowtable.Table, fencing func() uint64) {
	for revision := uint64(0); ctx.Err() == nil; {
		r.mirrors.BeginPoll(r.self)
		a := watch.Answer{Epoch: table.Epoch(), Fencing: fencing()}
		a.Rows, a.Revision = table.Since(revision)
		revision = a.Revision
		r.mirrors.Apply(r.self, a)
		if table.ChangedAfter(revision) {
			continue
		}
		waiting, cancel := context.WithTimeout(ctx, relayInterval)
		table.Wait(waiting, revision)
		cancel()
		wait.For(ctx, selfMirrorPause)
	}
}

// hintsInterval returns the time between two rounds of hints to the given number of entries.
func (r *relay) hintsInterval(entries int) time.Duration {
	return r.siteInterval(time.Duration(max(1, entries)) * hintsIntervalPerEntry)
}

// siteInterval returns the interval, on a large site watch.LargeSiteInterval at least.
func (r *relay) siteInterval(interval time.Duration) time.Duration {
	if r.siteEntries() > watch.MaxSingleRelayEntries {
		return max(interval, watch.LargeSiteInterval)
	}
	return interval
}

// put shows a hint that this replica has received.
func (r *relay) put(t rowtable.Topic, key string, value any) {
	b, err := codec.Marshal(value)
	if err != nil {
		event.NoticeRefused.Write(r.logger, log.Fields{"notice": "hint", "topic": t, "key": key, "error": err.Error()})
		return
	}
	r.localHints.Put(t, key, b)
	r.allHints.Put(t, key, b)
}

// applyPrefills shows the prefills that an entry has reported.
func (r *relay) applyPrefills(all []watch.Prefill) {
	for _, x := range all {
		r.put(topic.Prefills, stores.Part{Salt: x.Salt, ID: x.Part}.Key(""), x)
	}
}

// apply applies the hints of another relay.
func (r *relay) apply(address string, a watch.Answer, _ time.Time) {
	for _, row := range a.Rows {
		switch row.Topic {
		case topic.Loads:
			r.applySum(address, row)
		case topic.EngineCaches:
			r.applyCache(address, row)
		case topic.Prefills:
			r.allHints.Put(row.Topic, row.Key, row.Value)
		}
	}
}

// expire removes the hints of relays that no longer answer and returns their addresses.
func (r *relay) expire() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired []string
	for address := range r.peerSums {
		if r.silent(address) {
			delete(r.peerSums, address)
			expired = append(expired, address)
		}
	}
	for address, followed := range r.followedEngines {
		if address == r.self || !r.silent(address) {
			continue
		}
		delete(r.followedEngines, address)
		expired = append(expired, address)
		for key := range followed {
			r.allHints.Put(topic.EngineCaches, key, nil)
		}
	}
	return expired
}

// peers returns which of the replicas to poll until the next check. One whose hints have
// expired is left out once, so that its poll starts again and requests all hints. The
// present poll would only request changes.
func (r *relay) peers(addresses []string) []string {
	expired := r.expire()
	if r.entries.Entries() == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return slices.Contains(expired, a) })
}

// silent returns whether the last contact with the relay at address was too long ago.
func (r *relay) silent(address string) bool {
	ago, ok := r.follower.SinceAnswer(address)
	return !ok || ago > peerTimeout
}

// run exchanges hints with the relays at addresses until ctx ends, as long as this relay serves entries.
func (r *relay) run(ctx context.Context, addresses func() []string) {
	var loops sync.WaitGroup
	loops.Go(func() { r.showLoads(ctx) })
	defer loops.Wait()
	for {
		r.follower.Follow(ctx, r.peers(addresses()))
		if !wait.For(ctx, relayInterval) {
			return
		}
	}
}
