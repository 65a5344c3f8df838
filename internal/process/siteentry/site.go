package siteentry

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/parts"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

// site is what the entry knows of the site; it only ever moves forward.
type site struct {
	logger    log.Interface
	directory directory.Directory
	table     atomic.Pointer[document.Table]
	// changing guards the change of table; first is closed with the first one.
	changing sync.Mutex
	first    chan struct{}
	// documents fetches what replicas show.
	documents *documents
	// informed is closed when a holder of the lease has told of the stores, at uninformed after the start at the latest.
	informed chan struct{}
	inform   sync.Once

	thaw  *thaw
	began time.Time

	mu     sync.Mutex
	newest map[string]int64
	// named is when each model's newest version was named, weights how long after that requests may begin on older ones.
	named    map[string]time.Time
	weights  time.Duration
	noticed  map[string]int64
	members  memberLists
	entries  map[string]int
	count    entryCount
	caughtUp map[string]time.Time
	follow   func()
	// leads is what each replica shows of stores and orders.
	leads map[string]*lead
	clock *stores.Clock
	saves map[stores.Part]time.Time
	// memory guesses what engines hold; readings waits to be told to the others.
	memory   parts.Residency
	readings []watch.Prefill
	// copies is what the relay tells of holders of the lease; it counts in place of leads while relayed.
	copies  map[string]*lead
	relayed bool
	// relay is the replica that this entry exchanges hints with, empty for none.
	relay string
	// hinted is the start of the relay whose hints were taken last.
	hinted relayStart
	// caches is what the relay tells of the memory of engines that haven't announced themselves here yet.
	caches map[string]topic.EngineCache
	// others is what the other entries have at each engine; changed is called when it does.
	others  share.PeerLoads
	changed func()
	// uses are the hashes of the parts that were asked for.
	uses map[uint64]struct{}
}

func newSite(logger log.Interface, memory parts.Residency, others share.PeerLoads, changed func()) *site {
	s := &site{
		logger:    logger,
		memory:    memory,
		others:    others,
		changed:   changed,
		directory: directory.New(),
		first:     make(chan struct{}),
		informed:  make(chan struct{}),
		began:     time.Now(),
		members:   memberLists{},
		newest:    map[string]int64{},
		named:     map[string]time.Time{},
		noticed:   map[string]int64{},
		entries:   map[string]int{},
		caughtUp:  map[string]time.Time{},
		leads:     map[string]*lead{},
		clock:     stores.NewClock(),
		saves:     map[stores.Part]time.Time{},

		caches: map[string]topic.EngineCache{},
		copies: map[string]*lead{},
		uses:   map[uint64]struct{}{},
	}
	s.thaw = newThaw(s.age)
	time.AfterFunc(uninformed, func() { s.inform.Do(func() { close(s.informed) }) })
	return s
}

// take takes what the replica at address shows.
func (s *site) take(address string, a watch.Answer) {
	s.lead(address, a)
	for _, r := range a.Rows {
		if err := s.takeRow(address, r); err != nil {
			event.NoticeRefused.Write(s.logger, log.Fields{"peer": address, "notice": "row", "topic": r.Topic, "key": r.Key, "error": err.Error()})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[address] = a.Entries
	s.count.saw(slices.Max(slices.Collect(maps.Values(s.entries))), time.Now())
	s.noteInformed()
	s.clock.Observe(a.Clock)
	if a.CaughtUp {
		s.caughtUp[address] = time.Now()
	}
}

// noteInformed ends the wait for the stores once a holder of the lease has told of those that the document names; the caller holds the lock.
func (s *site) noteInformed() {
	if l := s.leading(); l != nil && l.complete(s.Table()) {
		s.inform.Do(func() { close(s.informed) })
	}
}

func (s *site) takeRow(address string, r rowtable.Row) error {
	switch r.Topic {
	case topic.DocumentChunks:
		return decoded(r, func(m topic.Document) { s.documents.show(address, m) })
	case topic.Servers:
		if len(r.Value) == 0 {
			s.forgetServer(r.Key)
			return nil
		}
		return decoded(r, s.takeServer)
	case topic.Members:
		return decoded(r, func(m []string) { s.takeMembers(address, m) })
	case topic.Weights:
		return decoded(r, func(l topic.LoadedWeights) { s.takeLoaded(r.Key, l) })
	case topic.Parts, topic.StoreSummaries, topic.StoresUp, topic.Busy, topic.Epochs:
		return s.takeLeadRow(address, r)
	case topic.Versions:
		return decoded(r, func(v int64) { s.takeVersion(r.Key, v) })
	case topic.NamedAt:
		return decoded(r, func(at int64) { s.takeNamedAt(r.Key, at) })
	}
	// A topic of a newer replica.
	return nil
}

// forgetServer forgets a server that is gone for good.
func (s *site) forgetServer(id string) {
	s.directory.Forget(id)
	s.memory.Forget(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.caches, id)
}

func decoded[T any](r rowtable.Row, take func(T)) error {
	v, err := codec.Unmarshal[T](r.Value)
	if err != nil {
		return err
	}
	take(v)
	return nil
}

// none stands for the number of no document.
const none = int64(math.MinInt64)

// takeDocument takes a document with a higher number.
func (s *site) takeDocument(d document.Document, origin log.Fields) {
	s.changing.Lock()
	defer s.changing.Unlock()
	before := none
	if t := s.table.Load(); t != nil {
		before = (*t).Document().Revision
	}
	if d.Revision <= before {
		return
	}
	t := document.NewTable(d)
	s.table.Store(&t)
	if before == none {
		close(s.first)
	}
	f := log.Fields{"number": d.Revision, "before": before, "routes": len(d.Routes), "workspaces": len(d.Workspaces)}
	maps.Copy(f, origin)
	event.DocumentInForce.Write(s.logger, f)
	s.mu.Lock()
	s.noteInformed()
	s.mu.Unlock()
}

func (s *site) takeServer(v directory.Server) {
	if _, matters := s.directory.Merge(v); matters {
		s.confirmCache(v)
		event.ServerAnnounced.Write(s.logger, log.Fields{
			"server": v.ID, "service": v.Service, "address": v.Address, "zone": v.Zone, "born": v.StartedAt,
			"sequence": v.Sequence, "state": v.State.String(), "silent": v.Silent, "home": v.Home,
		})
	}
}

// takeMembers notes whom the replica at address names as replicas.
func (s *site) takeMembers(address string, members []string) {
	s.mu.Lock()
	s.members[address] = members
	s.mu.Unlock()
	s.follow()
}

func (s *site) takeVersion(model string, v int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v > s.newest[model] {
		s.newest[model], s.named[model] = v, time.Now()
	}
}

// takeNamedAt takes when the newest version was named by the servers' clock: a
// process that has just started hears of it late.
func (s *site) takeNamedAt(model string, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now == 0 || at <= 0 || at > now {
		return
	}
	if t := time.Now().Add(-time.Duration(now-at) * time.Millisecond); t.Before(s.named[model]) {
		s.named[model] = t
	}
}

// beginSlack is how long before the promised time requests are sent to older
// weights for the last time: they begin after those that wait at the engine.
const beginSlack = 1200 * time.Millisecond

// VersionExpired implements caller.Site.
func (s *site) VersionExpired(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.weights > 0 && time.Since(s.named[model]) >= s.weights-beginSlack
}

// Table implements caller.Site.
func (s *site) Table() document.Table {
	if t := s.table.Load(); t != nil {
		return *t
	}
	return nil
}

// limits returns what the document in force allows callers; none without a document.
func (s *site) limits() document.Limits {
	if t := s.Table(); t != nil {
		return t.Document().Limits
	}
	return document.Limits{}
}

// AwaitDocument implements caller.Site.
func (s *site) AwaitDocument(ctx context.Context) {
	select {
	case <-s.first:
	case <-ctx.Done():
	}
}

// AwaitFreshState implements caller.Site.
func (s *site) AwaitFreshState(ctx context.Context) {
	s.thaw.settle(ctx)
}

// uninformed is how long after its start a process waits to be told of the stores.
const uninformed = 4 * time.Second

// serversLook is the time between two looks whether a server has announced itself.
const serversLook = 10 * time.Millisecond

// AwaitServers implements caller.Site.
func (s *site) AwaitServers(ctx context.Context, service string) {
	for time.Since(s.began) < uninformed && len(s.Servers(service)) == 0 {
		if !wait.For(ctx, serversLook) {
			return
		}
	}
}

// AwaitStores implements caller.Site.
func (s *site) AwaitStores(ctx context.Context) {
	select {
	case <-s.informed:
	case <-ctx.Done():
	}
}

// Servers implements caller.Site.
func (s *site) Servers(service string) []directory.Server {
	return s.directory.View().Service(service)
}

// Server implements caller.Site.
func (s *site) Server(id string) (directory.Server, bool) {
	v, ok := s.directory.View().Server(id)
	return v, ok && v.State == directory.Ready
}

// Version implements caller.Site.
//
// A server announces its weights about once a second and shows them in each
// answer; they only move forward.
func (s *site) Version(v directory.Server, model string) int64 {
	told, _ := v.Version(model)
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(told, s.noticed[noticeKey(v.ID, model)])
}

func noticeKey(server, model string) string {
	return server + "\x00" + model
}

// ObserveVersion implements caller.Site.
func (s *site) ObserveVersion(server, model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := noticeKey(server, model)
	s.noticed[k] = max(s.noticed[k], version)
}

// TargetVersion implements caller.Site.
func (s *site) TargetVersion(model string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest[model]
}

// Entries implements caller.Site.
func (s *site) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, s.count.number)
}

// current returns whether the entry can serve: a replica that has caught up has told it all.
func (s *site) current() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Load() != nil && len(s.caughtUp) > 0
}
