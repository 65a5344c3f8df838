package sitecontrol

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

func testNode(t *testing.T, role keys.Role) (rpc.Node, string) {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := c.LocalAddr().String()
	_ = c.Close()
	ring, err := keys.NewOpenRing(address, role)
	if err != nil {
		t.Fatal(err)
	}
	n, err := rpc.New(rpc.Config{Listen: address, Ring: ring})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n, address
}

// idleRelay returns a relay that serves no entries, for tests without network traffic.
func idleRelay(t *testing.T) *relay {
	t.Helper()
	n, address := testNode(t, keys.Control)
	return newRelay(relayConfig{node: n, self: address, epoch: 1, caughtUp: func() bool { return true }, siteEntries: func() int { return 1 }})
}

func cacheRow(t *testing.T, startedAt int64) rowtable.Row {
	t.Helper()
	b, err := codec.Marshal(topic.EngineCache{StartedAt: startedAt, MinPartTokens: 1024})
	if err != nil {
		t.Fatal(err)
	}
	return rowtable.Row{Topic: topic.EngineCaches, Key: "engine", Value: b}
}

// engineCacheHint returns the row of the engine's cache that the relay shows to entries.
func (r *relay) engineCacheHint() []byte {
	rows, _ := r.allHints.Since(0)
	at := slices.IndexFunc(rows, func(x rowtable.Row) bool { return x.Topic == topic.EngineCaches })
	if at < 0 {
		return nil
	}
	return rows[at].Value
}

// Guards against a removal by an engine's previous replica removing the row of the new one.
func TestEngineMovesToAnotherReplica(t *testing.T) {
	r := idleRelay(t)
	r.apply("old", watch.Answer{Rows: []rowtable.Row{cacheRow(t, 1)}}, time.Now())
	r.apply("new", watch.Answer{Rows: []rowtable.Row{cacheRow(t, 2)}}, time.Now())
	r.apply("old", watch.Answer{Rows: []rowtable.Row{{Topic: topic.EngineCaches, Key: "engine"}}}, time.Now())
	if len(r.engineCacheHint()) == 0 {
		t.Error("the previous replica of the engine removed the row of the new one")
	}
	r.putCache("engine", topic.EngineCache{StartedAt: 3})
	r.apply("new", watch.Answer{Rows: []rowtable.Row{{Topic: topic.EngineCaches, Key: "engine"}}}, time.Now())
	if len(r.engineCacheHint()) == 0 {
		t.Error("the previous replica of the engine removed the row of this one")
	}
	r.dropCache("engine")
	if len(r.engineCacheHint()) != 0 {
		t.Error("an engine that no replica follows is still shown")
	}
}

// Guards against loads and caches that a lost replica reported counting forever.
func TestHintsOfALostRelayExpire(t *testing.T) {
	r := idleRelay(t)
	b, err := codec.Marshal(share.Sum{Loads: map[uint32]share.Load{7: {InFlight: 9}}})
	if err != nil {
		t.Fatal(err)
	}
	r.apply("lost", watch.Answer{Rows: []rowtable.Row{cacheRow(t, 1), {Topic: topic.Loads, Value: b}}}, time.Now())
	if r.total(share.Sum{}).Loads[7].InFlight != 9 || len(r.engineCacheHint()) == 0 {
		t.Fatal("hints of another relay don't count")
	}
	r.expire()
	if n := r.total(share.Sum{}).Loads[7].InFlight; n != 0 {
		t.Errorf("%d requests of a lost relay's entries still count", n)
	}
	if len(r.engineCacheHint()) != 0 {
		t.Error("a lost relay's row of an engine still counts")
	}
}

// Guards against expired hints of a relay staying lost when it answers again after a network cut.
func TestRelayThatWasSilentIsPolledForAllHints(t *testing.T) {
	r := idleRelay(t)
	r.entries = oneEntryServer{}
	r.apply("silent", watch.Answer{Rows: []rowtable.Row{cacheRow(t, 1)}}, time.Now())
	all := []string{"other", "silent"}
	if p := r.peers(all); !slices.Equal(p, []string{"other"}) {
		t.Errorf("polled %v, though the poll of the silent relay has to start again", p)
	}
	if p := r.peers(all); !slices.Equal(p, all) {
		t.Errorf("polled %v afterwards", p)
	}
}

// oneEntryServer serves one entry.
type oneEntryServer struct{ watch.Server }

// Entries implements watch.Server.
func (oneEntryServer) Entries() int { return 1 }

// Guards against entries of different relays choosing the same engine because neither knows the other's load.
func TestEntriesOfTwoRelaysSeeEachOthersLoad(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var relays []*relay
	var addresses []string
	for range 2 {
		n, address := testNode(t, keys.Control)
		relays = append(relays, newRelay(relayConfig{node: n, self: address, epoch: 1, caughtUp: func() bool { return true }, siteEntries: func() int { return 2 }}))
		addresses = append(addresses, address)
		go func() { _ = n.Serve(ctx) }()
	}
	for i, r := range relays {
		peers := []string{addresses[1-i]}
		go r.run(ctx, func() []string { return peers })
	}
	received := make(chan struct{})
	follower := func(i int, apply func(a watch.Answer)) {
		n, _ := testNode(t, keys.Entry)
		f := watch.NewFollower(watch.FollowerConfig{Method: watch.Hints, Node: n, Watcher: addresses[i], Entry: true, Apply: func(_ string, a watch.Answer, _ time.Time) { apply(a) }})
		f.Follow(ctx, []string{addresses[i]})
		if i == 0 {
			report := share.Report{Entry: "e", Sequence: 1, Loads: share.Loads{"engine": {InFlight: 3}}}
			if err := rpc.Notify(ctx, n, addresses[0], watch.Loads, report); err != nil {
				t.Error(err)
			}
		}
	}
	peerLoads := share.NewPeerLoads("another")
	follower(0, func(watch.Answer) {})
	follower(1, func(a watch.Answer) {
		for _, row := range a.Rows {
			s, err := codec.Unmarshal[share.Sum](row.Value)
			if err == nil && row.Topic == topic.Loads && peerLoads.Load("engine", time.Now()).InFlight == 0 {
				peerLoads.Apply(s, time.Now())
				if peerLoads.Load("engine", time.Now()).InFlight == 3 {
					close(received)
				}
			}
		}
	})
	select {
	case <-received:
	case <-time.After(loadLifetime):
		t.Error("an entry doesn't get the load that an entry of another relay has reported")
	}
}

// loadLifetime is how long a load counts after an entry has reported it.
const loadLifetime = 1500 * time.Millisecond

// Guards against hints that are sent so often on a large site that its processes do little else, or so rarely that they are of no use.
func TestHintsOfALargeSiteAreRateLimited(t *testing.T) {
	const (
		// maxAnswers is how many answers a second a third of a control VM's processor can give.
		maxAnswers = 1270
		// maxPerEntry is how many answers a second an entry may get.
		maxPerEntry = 15
		// maxDelay is a tenth of the time that a long prompt runs.
		maxDelay = 130 * time.Millisecond
	)
	for _, entries := range []int{73, 291} {
		r := idleRelay(t)
		r.siteEntries = func() int { return entries }
		for n := 1; n <= 60; n++ {
			interval := r.hintsInterval(n)
			if interval > maxDelay {
				t.Errorf("%d of %d entries: hints are delayed by %s", n, entries, interval)
			}
			perEntry := 1/interval.Seconds() + 1/holderStatesInterval.Seconds()
			if rate := float64(n) * perEntry; rate > maxAnswers {
				t.Errorf("%d of %d entries: %.0f answers a second", n, entries, rate)
			}
			if perEntry > maxPerEntry {
				t.Errorf("%d of %d entries: %.0f answers a second to each", n, entries, perEntry)
			}
		}
	}
	if r := idleRelay(t); r.hintsInterval(7) > 15*time.Millisecond {
		t.Errorf("hints are delayed by %s on a small site", r.hintsInterval(7))
	}
}
