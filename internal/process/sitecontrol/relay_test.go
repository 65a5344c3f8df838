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

// quietRelay returns a relay that serves nobody, for what needs no network.
func quietRelay(t *testing.T) *relay {
	t.Helper()
	n, address := testNode(t, keys.Control)
	return newRelay(relayConfig{node: n, self: address, epoch: 1, caughtUp: func() bool { return true }, siteEntries: func() int { return 1 }})
}

func cacheRow(t *testing.T, born int64) rowtable.Row {
	t.Helper()
	b, err := codec.Marshal(topic.EngineCache{StartedAt: born, MinPartTokens: 1024})
	if err != nil {
		t.Fatal(err)
	}
	return rowtable.Row{Topic: topic.EngineCaches, Key: "engine", Value: b}
}

// shownCache returns what the relay shows entries of the engine's memory.
func (r *relay) shownCache() []byte {
	rows, _ := r.shown.Since(0)
	at := slices.IndexFunc(rows, func(x rowtable.Row) bool { return x.Topic == topic.EngineCaches })
	if at < 0 {
		return nil
	}
	return rows[at].Value
}

// Guards against the replica that an engine has left undoing what the next one tells of it.
func TestEngineMovesToAnotherReplica(t *testing.T) {
	r := quietRelay(t)
	r.take("old", watch.Answer{Rows: []rowtable.Row{cacheRow(t, 1)}}, time.Now())
	r.take("new", watch.Answer{Rows: []rowtable.Row{cacheRow(t, 2)}}, time.Now())
	r.take("old", watch.Answer{Rows: []rowtable.Row{{Topic: topic.EngineCaches, Key: "engine"}}}, time.Now())
	if len(r.shownCache()) == 0 {
		t.Error("the replica that the engine has left undid what the new one told")
	}
	r.putCache("engine", topic.EngineCache{StartedAt: 3})
	r.take("new", watch.Answer{Rows: []rowtable.Row{{Topic: topic.EngineCaches, Key: "engine"}}}, time.Now())
	if len(r.shownCache()) == 0 {
		t.Error("the replica that the engine has left undid what this one knows")
	}
	r.dropCache("engine")
	if len(r.shownCache()) != 0 {
		t.Error("an engine that nobody follows is still told of")
	}
}

// Guards against loads and caches that a dead replica told of counting for ever.
func TestHintsOfALostRelayAreForgotten(t *testing.T) {
	r := quietRelay(t)
	b, err := codec.Marshal(share.Sum{Loads: map[uint32]share.Load{7: {InFlight: 9}}})
	if err != nil {
		t.Fatal(err)
	}
	r.take("lost", watch.Answer{Rows: []rowtable.Row{cacheRow(t, 1), {Topic: topic.Loads, Value: b}}}, time.Now())
	if r.total(share.Sum{}).Loads[7].InFlight != 9 || len(r.shownCache()) == 0 {
		t.Fatal("what another relay tells doesn't count")
	}
	r.expire()
	if n := r.total(share.Sum{}).Loads[7].InFlight; n != 0 {
		t.Errorf("%d requests of a lost relay's entries still count", n)
	}
	if len(r.shownCache()) != 0 {
		t.Error("a lost relay's word of an engine still counts")
	}
}

// Guards against hints of a relay that was cut off for a while staying forgotten after it answers again.
func TestRelayThatWasSilentIsAskedForAllItsHints(t *testing.T) {
	r := quietRelay(t)
	r.entries = busyServer{}
	r.take("silent", watch.Answer{Rows: []rowtable.Row{cacheRow(t, 1)}}, time.Now())
	all := []string{"other", "silent"}
	if p := r.peers(all); !slices.Equal(p, []string{"other"}) {
		t.Errorf("polled %v while the poll of the silent relay has to begin anew", p)
	}
	if p := r.peers(all); !slices.Equal(p, all) {
		t.Errorf("polled %v afterwards", p)
	}
}

// busyServer serves one entry.
type busyServer struct{ watch.Server }

// Entries implements watch.Server.
func (busyServer) Entries() int { return 1 }

// Guards against entries of different relays choosing the same engine without hearing of each other.
func TestEntriesOfTwoRelaysSeeEachOther(t *testing.T) {
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
		others := []string{addresses[1-i]}
		go r.run(ctx, func() []string { return others })
	}
	heard := make(chan struct{})
	follower := func(i int, take func(a watch.Answer)) {
		n, _ := testNode(t, keys.Entry)
		f := watch.NewFollower(watch.FollowerConfig{Method: watch.Hints, Node: n, Watcher: addresses[i], Entry: true, Apply: func(_ string, a watch.Answer, _ time.Time) { take(a) }})
		f.Follow(ctx, []string{addresses[i]})
		if i == 0 {
			post := share.Report{Entry: "e", Sequence: 1, Loads: share.Loads{"engine": {InFlight: 3}}}
			if err := rpc.Notify(ctx, n, addresses[0], watch.Loads, post); err != nil {
				t.Error(err)
			}
		}
	}
	others := share.NewPeerLoads("another")
	follower(0, func(watch.Answer) {})
	follower(1, func(a watch.Answer) {
		for _, row := range a.Rows {
			s, err := codec.Unmarshal[share.Sum](row.Value)
			if err == nil && row.Topic == topic.Loads && others.Load("engine", time.Now()).InFlight == 0 {
				others.Apply(s, time.Now())
				if others.Load("engine", time.Now()).InFlight == 3 {
					close(heard)
				}
			}
		}
	})
	select {
	case <-heard:
	case <-time.After(postLife):
		t.Error("an entry doesn't hear of the load that an entry of another relay has told")
	}
}

// postLife is how long a load counts after an entry has told it.
const postLife = 1500 * time.Millisecond

// Guards against news that come so often on a large site that its processes do little else, or so seldom that they are of no use.
func TestNewsOfALargeSiteComeAtASteadyRate(t *testing.T) {
	const (
		// mostAnswers is what a third of a control VM's processor bears a second.
		mostAnswers = 1270
		// mostToOne is what an entry may be answered a second.
		mostToOne = 15
		// oldest is a tenth of the time that a long prompt runs.
		oldest = 130 * time.Millisecond
	)
	for _, entries := range []int{73, 291} {
		r := quietRelay(t)
		r.siteEntries = func() int { return entries }
		for n := 1; n <= 60; n++ {
			hints := r.pauseOfHints(n)
			if hints > oldest {
				t.Errorf("%d of %d entries: hints wait for %s", n, entries, hints)
			}
			toOne := 1/hints.Seconds() + 1/leadsPause.Seconds()
			if rate := float64(n) * toOne; rate > mostAnswers {
				t.Errorf("%d of %d entries: %.0f answers a second", n, entries, rate)
			}
			if toOne > mostToOne {
				t.Errorf("%d of %d entries: %.0f answers a second to each", n, entries, toOne)
			}
		}
	}
	if r := quietRelay(t); r.pauseOfHints(7) > 15*time.Millisecond {
		t.Errorf("hints wait for %s on a small site", r.pauseOfHints(7))
	}
}
