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
	// relayInterval is the time between two looks whom to exchange hints with.
	relayInterval = 250 * time.Millisecond
	// peerTimeout is how long another relay's hints count without hearing from it.
	peerTimeout = 2 * time.Second
	// selfPause is the time between two looks at what this replica shows itself.
	selfPause = 20 * time.Millisecond
	// hintsPause is how long hints are gathered for each entry that the relay serves, so
	// that it gives as many answers a second to any number of them.
	hintsPause = 2 * time.Millisecond
	// leadsPause is the time between two rounds of rows on stores and orders: they change
	// all the time, and a part is asked for again seconds later as a rule.
	leadsPause = 250 * time.Millisecond
)

// relay exchanges hints between entries: what they have at each engine, which engines
// read which parts, and what lies in engines' memory. To the entries of a large site it
// also passes on what holders of the lease tell of stores and orders.
//
// Each entry has one relay and relays ask each other, so that no replica's work grows
// with entries times news. Hints may be late or missing: nothing that must hold depends
// on them.
type relay struct {
	node   rpc.Node
	self   string
	logger log.Interface
	// siteEntries returns how many entries the site has.
	siteEntries func() int
	// told holds the hints that came from entries and engines of this replica, shown
	// those of all relays.
	told, shown rowtable.Table
	entries     watch.Server
	follower    watch.Follower
	loads       share.Aggregator
	// leads are copies of what holders of the lease show.
	leads watch.Mirrors

	mu sync.Mutex
	// sums are the other relays' loads, caches the engines that each relay follows, this one's under self.
	sums   map[string]share.Sum
	caches map[string]map[string]bool
}

// relayConfig is what a relay needs.
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
		node: c.node, self: c.self, logger: c.logger, siteEntries: c.siteEntries, told: rowtable.New(c.epoch), shown: rowtable.New(c.epoch), loads: share.NewAggregator(),
		sums: map[string]share.Sum{}, caches: map[string]map[string]bool{},
	}
	noLease := func() (uint64, int64) { return 0, 0 }
	r.entries = watch.NewServer(watch.Config{Method: watch.Hints, Zone: c.zone, Node: c.node, Table: r.shown, CaughtUp: c.caughtUp, Holder: noLease, Pause: r.pauseOfHints})
	watch.NewServer(watch.Config{
		Method: watch.Exchange, Zone: c.zone, Node: c.node, Table: r.told, CaughtUp: c.caughtUp, Holder: noLease,
		Pause: func(int) time.Duration { return watch.LargeSitePause }, BatchReplicas: true,
	})
	r.leads = watch.NewMirrors(watch.MirrorsConfig{Node: c.node, Relayed: topic.Relayed, Pause: func(int) time.Duration { return leadsPause }})
	rpc.Receive(c.node, watch.Loads, func(_ rpc.Peer, l share.Report) { r.loads.Add(l, time.Now()) })
	rpc.Receive(c.node, watch.Prefills, func(_ rpc.Peer, all []watch.Prefill) { r.takeReadings(all) })
	r.follower = watch.NewFollower(watch.FollowerConfig{
		Method: watch.Exchange, Node: c.node, Watcher: fmt.Sprintf("%s/%d", c.self, c.epoch), Apply: r.take, Logger: c.logger,
	})
	return r
}

// prepare completes a poll of the replica at address.
func (r *relay) prepare(address string, p *watch.Poll) {
	r.leads.BeginPoll(address)
	p.Relay, p.Acknowledged = true, r.leads.AcknowledgedRevision(address, stores.StaleAfter)
}

// copySelf copies what this replica shows, for the entries that it serves, until ctx ends.
func (r *relay) copySelf(ctx context.Context, b rowtable.Table, fencing func() uint64) {
	for number := uint64(0); ctx.Err() == nil; {
		r.leads.BeginPoll(r.self)
		a := watch.Answer{Epoch: b.Epoch(), Fencing: fencing()}
		a.Rows, a.Revision = b.Since(number)
		number = a.Revision
		r.leads.Apply(r.self, a)
		if b.ChangedAfter(number) {
			continue
		}
		waiting, cancel := context.WithTimeout(ctx, relayInterval)
		b.Wait(waiting, number)
		cancel()
		wait.For(ctx, selfPause)
	}
}

// pauseOfHints returns the time between two rounds of hints to so many entries.
func (r *relay) pauseOfHints(entries int) time.Duration {
	return r.paced(time.Duration(max(1, entries)) * hintsPause)
}

// paced returns the pause, on a site of many entries ManyPause at least.
func (r *relay) paced(pause time.Duration) time.Duration {
	if r.siteEntries() > watch.MaxSingleRelayEntries {
		return max(pause, watch.LargeSitePause)
	}
	return pause
}

// put shows a hint that this replica was told.
func (r *relay) put(t rowtable.Topic, key string, value any) {
	b, err := codec.Marshal(value)
	if err != nil {
		event.NoticeRefused.Write(r.logger, log.Fields{"notice": "hint", "topic": t, "key": key, "error": err.Error()})
		return
	}
	r.told.Put(t, key, b)
	r.shown.Put(t, key, b)
}

func (r *relay) takeReadings(all []watch.Prefill) {
	for _, x := range all {
		r.put(topic.Prefills, stores.Part{Salt: x.Salt, ID: x.Part}.Key(""), x)
	}
}

// take takes the hints that another relay was told.
func (r *relay) take(address string, a watch.Answer, _ time.Time) {
	for _, row := range a.Rows {
		switch row.Topic {
		case topic.Loads:
			r.takeSum(address, row)
		case topic.EngineCaches:
			r.takeCache(address, row)
		case topic.Prefills:
			r.shown.Put(row.Topic, row.Key, row.Value)
		}
	}
}

// expire forgets what relays told that don't answer any more and returns their addresses.
func (r *relay) expire() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired []string
	for address := range r.sums {
		if r.silent(address) {
			delete(r.sums, address)
			expired = append(expired, address)
		}
	}
	for address, followed := range r.caches {
		if address == r.self || !r.silent(address) {
			continue
		}
		delete(r.caches, address)
		expired = append(expired, address)
		for key := range followed {
			r.shown.Put(topic.EngineCaches, key, nil)
		}
	}
	return expired
}

// peers returns which of the replicas are polled until the next look. One whose hints
// have expired is left out once: a new poll asks for all of them, the present one only
// for what changes.
func (r *relay) peers(addresses []string) []string {
	expired := r.expire()
	if r.entries.Entries() == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return slices.Contains(expired, a) })
}

func (r *relay) silent(address string) bool {
	ago, ok := r.follower.SinceAnswer(address)
	return !ok || ago > peerTimeout
}

// run exchanges hints with the relays at addresses while entries ask for them, until ctx ends.
func (r *relay) run(ctx context.Context, addresses func() []string) {
	var sums sync.WaitGroup
	sums.Go(func() { r.showLoads(ctx) })
	defer sums.Wait()
	for {
		r.follower.Follow(ctx, r.peers(addresses()))
		if !wait.For(ctx, relayInterval) {
			return
		}
	}
}
