package completion

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/cache/store"
	"hornbeamwood/internal/entry/caller"
	"hornbeamwood/internal/entry/engine"
	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/policy/admission"
	"hornbeamwood/internal/policy/placement"
	"hornbeamwood/internal/policy/retry"
	"hornbeamwood/internal/policy/route"
	"hornbeamwood/internal/policy/suspicion"
	"hornbeamwood/internal/settings/rules"
)

// script is the behaviour of a fake engine for one attempt: events, then the error.
type script struct {
	refuse error
	events []string
	end    error
	hold   chan struct{}
}

// fakeEngines runs the script of each engine by its address.
type fakeEngines struct {
	mu      sync.Mutex
	scripts map[string]script
	runs    []string
	bodies  []string
}

func (f *fakeEngines) Run(ctx context.Context, address string, r engine.Request) (engine.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, address)
	f.bodies = append(f.bodies, string(r.Body))
	s := f.scripts[address]
	if s.refuse != nil {
		return nil, s.refuse
	}
	return &fakeStream{ctx: ctx, script: s}, nil
}

func (f *fakeEngines) ran() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.runs...)
}

type fakeStream struct {
	ctx      context.Context
	script   script
	position int
}

func (s *fakeStream) Next() ([]byte, error) {
	if s.script.hold != nil {
		select {
		case <-s.script.hold:
		case <-s.ctx.Done():
			return nil, verdict.New(verdict.MayHaveRun, 502, "stream-lost", "cut").WithCause(s.ctx.Err())
		}
	}
	if s.position < len(s.script.events) {
		s.position++
		return []byte(s.script.events[s.position-1]), nil
	}
	if s.script.end != nil {
		return nil, s.script.end
	}
	return nil, io.EOF
}

func (s *fakeStream) Position() int { return s.position }
func (s *fakeStream) Close()        {}

// fakeCache holds the locations of some keys and grants all pins except for refused keys.
type fakeCache struct {
	mu      sync.Mutex
	found   map[block.Key]directory.Location
	refused map[block.Key]bool
	pinned  int
	changes []directory.StoreChange
	// pinning is called while pins are requested.
	pinning func()
}

func (f *fakeCache) Lookup(_ context.Context, keys []block.Key) directory.Locations {
	all := make(directory.Locations, len(keys))
	for i, k := range keys {
		all[i] = f.found[k]
	}
	return all
}

func (f *fakeCache) Change(_ context.Context, all ...directory.StoreChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, all...)
}

func (f *fakeCache) Pin(_ context.Context, all []directory.Pin) []bool {
	if f.pinning != nil {
		f.pinning()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	granted := make([]bool, len(all))
	for i, p := range all {
		granted[i] = !f.refused[p.Key]
		if granted[i] {
			f.pinned++
		}
	}
	return granted
}

func (f *fakeCache) Unpin(_ context.Context, all []directory.Pin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pinned -= len(all)
}

// fakeHeads holds the pieces that a store still has.
type fakeHeads map[block.Key]store.Piece

func (f fakeHeads) Head(_ context.Context, _ string, k block.Key) (store.Piece, bool, error) {
	p, ok := f[k]
	return p, ok, nil
}

type fakeExports struct{}

func (fakeExports) Export(_ context.Context, _ string, e Export) ([]ExportResult, error) {
	all := make([]ExportResult, len(e.Pieces))
	for i := range all {
		all[i] = ExportResult{Sealed: true, Generation: 1, Bytes: 10}
	}
	return all, nil
}

// fakeGuard records which servers were lost and, without refused, lets every request run.
type fakeGuard struct {
	mu      sync.Mutex
	refused error
	lost    []string
}

func (g *fakeGuard) RecordOwner(Fingerprint, string, string)                       {}
func (g *fakeGuard) Check(time.Time, string, suspicion.Attributes) error           { return g.refused }
func (g *fakeGuard) Recheck(time.Time, string, suspicion.Attributes, string) error { return nil }
func (g *fakeGuard) Started(time.Time, Fingerprint, string)                        {}
func (g *fakeGuard) RequiresIsolation(time.Time, string) bool                      { return false }
func (g *fakeGuard) Ended(_ context.Context, _ time.Time, r Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Lost {
		g.lost = append(g.lost, r.Server)
	}
}

// fixture is a router with fake dependencies, some engines and one store.
type fixture struct {
	router  Router
	engines *fakeEngines
	cache   *fakeCache
	guard   *fakeGuard
	table   membership.Table
	heads   fakeHeads
}

func newFixture(t *testing.T, engines int, queued int64) *fixture {
	t.Helper()
	f := &fixture{
		engines: &fakeEngines{scripts: make(map[string]script)},
		cache:   &fakeCache{found: make(map[block.Key]directory.Location), refused: make(map[block.Key]bool)},
		guard:   &fakeGuard{},
		heads:   fakeHeads{},
		table:   membership.New(membership.Config{}),
	}
	now := time.Now()
	for i := range engines {
		f.announce(t, now, fmt.Sprintf("engine-%d", i+1), announcement.Engine, queued)
	}
	f.announce(t, now, "store-1", announcement.Store, 0)
	g, err := membership.NewGossip(membership.GossipConfig{Self: "entry-1", Start: now, Table: f.table, Random: rand.New(rand.NewPCG(1, 1))})
	if err != nil {
		t.Fatal(err)
	}
	attempts := 0
	f.router = New(Config{
		Servers: f.table, Work: g.Work(), Cache: f.cache, Engines: f.engines, Exports: fakeExports{}, Heads: f.heads,
		Strategy: route.New(route.Config{}), Admission: admission.New(admission.Config{}),
		Retry: retry.New(retry.Config{}), ReuseEstimator: placement.NewReuseEstimator(0.5), Guard: f.guard, Entries: 1,
		Now:        func() time.Time { return now },
		NewAttempt: func() string { attempts++; return fmt.Sprintf("attempt-%d", attempts) },
		Random:     rand.New(rand.NewPCG(1, 2)),
	})
	t.Cleanup(f.router.Close)
	return f
}

func address(identity string) string {
	return "10.0.0." + identity[len(identity)-1:] + ":80"
}

func (f *fixture) announce(t *testing.T, now time.Time, identity string, k announcement.Kind, queued int64) {
	t.Helper()
	a := announcement.Announcement{
		Identity: identity, Incarnation: 1, Sequence: 1, Zone: "tunja", Address: address(identity), Kind: k, State: announcement.Ready,
		Load: announcement.Load{Sequence: 1, PrefillRate: 10_000, DecodeRate: 100, MaxRunning: 8, QueuedTokens: queued, LinkRate: 1e9},
	}
	if k == announcement.Store {
		a.Address = "10.0.1.1:80"
	} else {
		a.Holdings = []announcement.Holding{{Model: "draft", WeightVersion: "v1"}}
		a.Load.LinkRate = 0
	}
	if m := f.table.Announce(now, a); m.Outcome != membership.Accepted {
		t.Fatalf("%s: %+v", identity, m)
	}
}

const pieceTokens = 16

func newRequest(prompt string, priority int) caller.Request {
	tokens := make([]uint32, len(prompt)/4)
	for i := range tokens {
		tokens[i] = uint32(prompt[4*i])
	}
	return caller.Request{
		ID: "r-" + prompt[:min(8, len(prompt))], Workspace: "gate", Path: "/v1/completions",
		Body:   []byte(`{"model":"draft","stream":true,"kv_transfer_params":{"imports":[{"key":"of another workspace"}]}}`),
		Prompt: []byte(prompt), Tokens: tokens, Received: time.Now(),
		Model:    rules.Model{Name: "draft", WeightVersion: "v1", PieceTokens: pieceTokens},
		Rules:    rules.Rules{Deadline: time.Minute, Priority: priority, Share: 1, RetryShare: 1, FirstTokenPrice: 1, LinkPrice: 0.01, RecomputePrice: 1},
		Snapshot: &rules.Snapshot{Fleet: rules.Fleet{AnnouncementAge: 2 * time.Second, RetryShare: 1}},
	}
}

// drain reads a stream to its end.
func drain(s caller.Stream) (string, error) {
	var all strings.Builder
	for {
		b, err := s.Next()
		if errors.Is(err, io.EOF) {
			return all.String(), nil
		}
		if err != nil {
			return all.String(), err
		}
		all.Write(b)
	}
}
