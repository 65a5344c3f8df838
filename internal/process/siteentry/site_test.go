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
)

func quietSite() *site {
	return newSite(&log.Logger{Handler: discard.New()}, parts.NewResidency(), share.NewPeerLoads("e"), func() {})
}

// All processes were killed and are back; the operator's document is there before
// the first server has announced itself again. A request that is refused in that
// moment comes back later than the server does.
func TestRequestsOfANewProcessWaitForTheFirstServer(t *testing.T) {
	s := quietSite()
	announced := time.AfterFunc(30*time.Millisecond, func() {
		s.takeServer(directory.Server{ID: "a", StartedAt: 1, Service: "x", Address: "a:1"})
	})
	defer announced.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s.AwaitServers(ctx, "x")
	if ctx.Err() != nil || len(s.Servers("x")) != 1 {
		t.Error("the request went on without a server")
	}
	s.began = s.began.Add(-uninformed)
	began := time.Now()
	s.AwaitServers(ctx, "none")
	if time.Since(began) > time.Second {
		t.Error("a process that knows its site waits for a service without servers")
	}
}

// Engines come back under new names day after day. What an entry remembers of an
// engine must go with it, or the entry's memory fills up over weeks.
func TestMemoryOfAGoneEngineIsDropped(t *testing.T) {
	s := quietSite()
	now := time.Now()
	s.takeServer(directory.Server{ID: "a", StartedAt: 1, Service: "x", Address: "a:1"})
	s.memory.Note("a", "m/1", "part", 3000, 90_000, now)
	if err := s.takeRow("r", rowtable.Row{Topic: topic.Servers, Key: "a"}); err != nil {
		t.Fatal(err)
	}
	if h := s.memory.Holders("m/1", "part", 3000, now); len(h) != 0 {
		t.Errorf("still remembered: %v", h)
	}
}

// Guards against what an engine keeps being believed after its restart, lost before its announcement, or kept without anybody's word.
func TestEngineIsToldOfByTheRelay(t *testing.T) {
	s := quietSite()
	now := time.Now()
	s.takeServer(directory.Server{ID: "a", StartedAt: 2, Service: "x", Address: "a:1"})
	row := func(born int64) rowtable.Row {
		p := stores.Part{Salt: "m/1", ID: "part"}
		b, err := codec.Marshal(topic.EngineCache{StartedAt: born, MinPartTokens: 1024, Parts: map[uint64]int{p.Hash(): 3000}})
		if err != nil {
			t.Fatal(err)
		}
		return rowtable.Row{Topic: topic.EngineCaches, Key: "a", Value: b}
	}
	holds := func() bool { return s.memory.Holds("a", "m/1", "part", 3000, now) }
	take := func(r rowtable.Row) {
		if err := s.takeHint(r); err != nil {
			t.Fatal(err)
		}
	}
	take(row(1))
	if holds() {
		t.Error("the memory of an earlier start counts")
	}
	take(row(2))
	if !holds() {
		t.Error("what the relay tells doesn't count")
	}
	take(row(3))
	s.takeServer(directory.Server{ID: "a", StartedAt: 3, Service: "x", Address: "a:1"})
	if !holds() {
		t.Error("what was told before the announcement is lost")
	}
	s.takeHints(relayStart{"another", 1}, nil, nil)
	if holds() {
		t.Error("the word of a relay that is no more counts for ever")
	}
	s.takeHints(relayStart{"another", 1}, []rowtable.Row{row(3)}, nil)
	s.takeHints(relayStart{"another", 1}, nil, nil)
	if !holds() {
		t.Error("an answer without news undid what the relay told before")
	}
	s.takeHints(relayStart{"another", 2}, nil, nil)
	if holds() {
		t.Error("the word of an earlier start of the relay counts for ever")
	}
	take(row(3))
	take(rowtable.Row{Topic: topic.EngineCaches, Key: "a"})
	if holds() {
		t.Error("an engine that isn't followed any more is still believed to have the part")
	}
}
