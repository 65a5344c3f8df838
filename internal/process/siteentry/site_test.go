package siteentry

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/parts"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

func newDiscardSite() *site {
	return newSite(&log.Logger{Handler: discard.New()}, parts.NewResidency(), share.NewPeerLoads("e"), func() {})
}

// All processes were killed and have restarted; the operator's document is in force before the first server has
// announced itself again. A caller whose request is refused at that moment retries later than the server
// returns.
func TestNewProcessWaitsForTheFirstServer(t *testing.T) {
	s := newDiscardSite()
	s.apply("r", watch.Answer{CaughtUp: true})
	announced := time.AfterFunc(30*time.Millisecond, func() {
		s.applyServer(directory.Server{ID: "a", StartedAt: 1, Service: "x", Address: "a:1"})
	})
	defer announced.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s.AwaitServers(ctx, func() bool { return len(s.Servers("x")) > 0 })
	if ctx.Err() != nil || len(s.Servers("x")) != 1 {
		t.Error("the request continued without a server")
	}
	s.startedAt = s.startedAt.Add(-startupWait)
	began := time.Now()
	s.AwaitServers(ctx, func() bool { return false })
	if time.Since(began) > time.Second {
		t.Error("a process past its startup wait waits for a service without servers")
	}
}

// Engines restart under new names day after day. What an entry remembers of an engine must be removed with it,
// or the entry's memory fills up over weeks.
func TestResidencyOfRemovedEngineIsDropped(t *testing.T) {
	s := newDiscardSite()
	now := time.Now()
	s.applyServer(directory.Server{ID: "a", StartedAt: 1, Service: "x", Address: "a:1"})
	s.residency.RecordSent("a", "m/1", "part", 3000, 90_000, now)
	if err := s.applyRow("r", rowtable.Row{Topic: topic.Servers, Key: "a"}); err != nil {
		t.Fatal(err)
	}
	if h := s.residency.Holders("m/1", "part", 3000, now); len(h) != 0 {
		t.Errorf("residency is kept: %v", h)
	}
}

// Guards against an engine's cache being used after its restart, being lost before its announcement, or being
// kept when no relay reports it.
func TestEngineCacheComesFromTheRelay(t *testing.T) {
	s := newDiscardSite()
	now := time.Now()
	s.applyServer(directory.Server{ID: "a", StartedAt: 2, Service: "x", Address: "a:1"})
	row := func(startedAt int64) rowtable.Row {
		p := stores.Part{Salt: "m/1", ID: "part"}
		b, err := codec.Marshal(topic.EngineCache{StartedAt: startedAt, MinPartTokens: 1024, Parts: map[uint64]int{p.Hash(): 3000}})
		if err != nil {
			t.Fatal(err)
		}
		return rowtable.Row{Topic: topic.EngineCaches, Key: "a", Value: b}
	}
	holds := func() bool { return s.residency.Holds("a", "m/1", "part", 3000, now) }
	apply := func(r rowtable.Row) {
		if err := s.applyHint(r); err != nil {
			t.Fatal(err)
		}
	}
	apply(row(1))
	if holds() {
		t.Error("the cache of an earlier incarnation is used")
	}
	apply(row(2))
	if !holds() {
		t.Error("the cache that the relay reports isn't used")
	}
	apply(row(3))
	s.applyServer(directory.Server{ID: "a", StartedAt: 3, Service: "x", Address: "a:1"})
	if !holds() {
		t.Error("the cache reported before the announcement is lost")
	}
	s.applyHints(relayStart{"another", 1}, nil, nil)
	if holds() {
		t.Error("the cache reported by the previous relay is still used")
	}
	s.applyHints(relayStart{"another", 1}, []rowtable.Row{row(3)}, nil)
	s.applyHints(relayStart{"another", 1}, nil, nil)
	if !holds() {
		t.Error("an answer without rows removed the reported cache")
	}
	s.applyHints(relayStart{"another", 2}, nil, nil)
	if holds() {
		t.Error("the cache reported by an earlier incarnation of the relay is still used")
	}
	apply(row(3))
	apply(rowtable.Row{Topic: topic.EngineCaches, Key: "a"})
	if holds() {
		t.Error("an engine that is no longer tracked still counts as having the part")
	}
}
