package siteentry

import (
	"context"
	"errors"
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
	"hornbeamwood/internal/policy/suspicion"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/parts"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/salt"
	"hornbeamwood/internal/site/section"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

// site is the entry's view of the site. Its revisions and versions only increase.
type site struct {
	logger    log.Interface
	directory directory.Directory
	table     atomic.Pointer[salt.Table]
	// tableMu guards changes of table. firstDocument is closed with the first one.
	tableMu       sync.Mutex
	firstDocument chan struct{}
	// documents fetches the documents that replicas announce.
	documents *documents
	// storesKnown is closed when a lease holder has reported the stores, at the latest startupWait after the
	// start.
	storesKnown     chan struct{}
	storesKnownOnce sync.Once

	// applyQuarantine applies the quarantine of an attribute of requests.
	applyQuarantine func(f suspicion.Fingerprint, p suspicion.Period)

	suspension *suspensionGuard
	startedAt  time.Time
	// heartbeat is the interval at which servers announce themselves.
	heartbeat time.Duration

	mu             sync.Mutex
	targetVersions map[string]int64
	// targetSince is when each model's target version was set, weightsDeadline how long after that requests may
	// start on older ones.
	targetSince      map[string]time.Time
	weightsDeadline  time.Duration
	observedVersions map[string]int64
	members          memberLists
	reportedEntries  map[string]int
	count            entryCount
	caughtUp         map[string]time.Time
	// answeredAt is when any replica last answered a poll, resumedAt when this process was last found to have been
	// suspended. Answers to earlier polls don't count.
	answeredAt, resumedAt time.Time
	follow                func()
	// directStates holds the state of stores and orders that each replica reports.
	directStates map[string]*replicaState
	clock        *stores.Clock
	recentSaves  map[stores.Part]time.Time
	// residency estimates what engines have cached. prefills are those that wait to be reported to the other
	// entries.
	residency parts.Residency
	prefills  []watch.Prefill
	// mirroredStates holds the relay's mirrors of lease holders' states. They replace directStates while relayed
	// is set.
	mirroredStates map[string]*replicaState
	relayed        bool
	// relay is the replica that this entry exchanges hints with, empty for none.
	relay string
	// hintSource is the relay incarnation whose hints were applied last.
	hintSource relayStart
	// engineCaches holds the relay's rows on the KV caches of engines, also of those that haven't announced
	// themselves here yet.
	engineCaches map[string]topic.EngineCache
	// peerLoads is the load of the other entries at each engine. onPeerLoads is called when it changes.
	peerLoads   share.PeerLoads
	onPeerLoads func()
	// usedParts holds the hashes of the parts that were requested.
	usedParts   map[uint64]struct{}
	evacuations *evacuations
	software    *softwareChanges

	recordedSoftware *recordedSoftware
	// serviceSince is since when the document names each service.
	serviceSince map[string]time.Time
}

func newSite(logger log.Interface, residency parts.Residency, peerLoads share.PeerLoads, onPeerLoads func()) *site {
	s := &site{
		logger:           logger,
		residency:        residency,
		peerLoads:        peerLoads,
		onPeerLoads:      onPeerLoads,
		directory:        directory.New(),
		firstDocument:    make(chan struct{}),
		storesKnown:      make(chan struct{}),
		startedAt:        time.Now(),
		members:          memberLists{},
		targetVersions:   map[string]int64{},
		targetSince:      map[string]time.Time{},
		observedVersions: map[string]int64{},
		reportedEntries:  map[string]int{},
		caughtUp:         map[string]time.Time{},
		directStates:     map[string]*replicaState{},
		clock:            stores.NewClock(),
		recentSaves:      map[stores.Part]time.Time{},

		engineCaches:   map[string]topic.EngineCache{},
		mirroredStates: map[string]*replicaState{},
		usedParts:      map[uint64]struct{}{},
		evacuations:    newEvacuations(),
		software:       newSoftwareChanges(),

		recordedSoftware: newRecordedSoftware(),
		serviceSince:     map[string]time.Time{},
	}
	s.suspension = newSuspensionGuard(s.ageStates)
	time.AfterFunc(startupWait, func() { s.storesKnownOnce.Do(func() { close(s.storesKnown) }) })
	return s
}

// apply applies an answer of the replica at address.
func (s *site) apply(address string, a watch.Answer) {
	s.observeReplica(address, a)
	s.recordedSoftware.observeEpoch(address, a.Epoch)
	for _, r := range a.Rows {
		if err := s.applyRow(address, r); err != nil {
			event.NoticeRefused.Write(s.logger, log.Fields{"peer": address, "notice": "row", "topic": r.Topic, "key": r.Key, "error": err.Error()})
		}
	}
	if a.CaughtUp && !a.More {
		s.evacuations.setKnown()
		s.recordedSoftware.observeCaughtUp(address, time.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedEntries[address] = a.Entries
	s.count.observe(slices.Max(slices.Collect(maps.Values(s.reportedEntries))), time.Now())
	s.signalStoresKnown()
	s.clock.Observe(a.Clock)
	if a.CaughtUp {
		s.caughtUp[address] = time.Now()
	}
}

// signalStoresKnown ends the wait for the stores once a lease holder has reported all stores of the document.
// The caller holds the lock.
func (s *site) signalStoresKnown() {
	if h := s.storeState(); h != nil && h.complete(s.Table()) {
		s.storesKnownOnce.Do(func() { close(s.storesKnown) })
	}
}

func (s *site) applyRow(address string, r rowtable.Row) error {
	switch r.Topic {
	case topic.DocumentChunks:
		return decodeRow(r, func(m topic.Document) { s.documents.offer(address, m) })
	case topic.Servers:
		if len(r.Value) == 0 {
			s.forgetServer(r.Key)
			return nil
		}
		return decodeRow(r, s.applyServer)
	case topic.Members:
		return decodeRow(r, func(m []string) { s.applyMembers(address, m) })
	case topic.Weights:
		return decodeRow(r, func(l topic.LoadedWeights) { s.applyLoadedWeights(r.Key, l) })
	case topic.Parts, topic.StoreSummaries, topic.StoreStates, topic.Busy, topic.StoreEpochs:
		return s.applyHolderRow(address, r)
	case topic.TargetVersions:
		return decodeRow(r, func(v int64) { s.applyTargetVersion(r.Key, v) })
	case topic.TargetVersionTimes:
		return decodeRow(r, func(at int64) { s.applyTargetVersionTime(r.Key, at) })
	case topic.Quarantine:
		f, ok := suspicion.Parse(r.Key)
		if !ok {
			return errFingerprint
		}
		return decodeRow(r, func(p suspicion.Period) { s.applyQuarantine(f, p) })
	case topic.Software:
		return decodeRow(r, func(versions []string) { s.recordedSoftware.apply(address, r.Key, versions) })
	case topic.Evacuations:
		return decodeRow(r, func(e section.Evacuation) { s.applyEvacuation(address, r.Key, e) })
	}
	// The topic comes from a newer replica version.
	return nil
}

var errFingerprint = errors.New("the key of a quarantine row is not a fingerprint")

// forgetServer removes a server that is gone for good.
func (s *site) forgetServer(id string) {
	s.directory.Forget(id)
	s.residency.Forget(id)
	s.software.forget(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.engineCaches, id)
}

func decodeRow[T any](r rowtable.Row, apply func(T)) error {
	v, err := codec.Unmarshal[T](r.Value)
	if err != nil {
		return err
	}
	apply(v)
	return nil
}

// noRevision is lower than the revision of any document.
const noRevision = int64(math.MinInt64)

// applyDocument brings a document with a higher revision into force, with the text of its salt.Sharing.
func (s *site) applyDocument(d document.Document, sharedSalt string, origin log.Fields) {
	s.tableMu.Lock()
	defer s.tableMu.Unlock()
	before := noRevision
	if t := s.table.Load(); t != nil {
		before = (*t).Document().Revision
	}
	if d.Revision <= before {
		return
	}
	t := salt.NewTable(d, sharedSalt)
	s.observeServices(d, time.Now())
	s.table.Store(&t)
	if before == noRevision {
		close(s.firstDocument)
	}
	f := log.Fields{"number": d.Revision, "before": before, "routes": len(d.Routes), "workspaces": len(d.Workspaces), "shared-salt": sharedSalt}
	maps.Copy(f, origin)
	event.DocumentInForce.Write(s.logger, f)
	s.mu.Lock()
	s.signalStoresKnown()
	s.mu.Unlock()
}

// observeServices records which services the document names.
func (s *site) observeServices(d document.Document, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.serviceSince
	s.serviceSince = make(map[string]time.Time, len(d.Services))
	for _, v := range d.Services {
		since, ok := before[v.Name]
		if !ok {
			since = now
		}
		s.serviceSince[v.Name] = since
	}
}

func (s *site) applyServer(v directory.Server) {
	newer, matters := s.directory.Merge(v)
	if newer {
		s.software.observe(v, time.Now())
	}
	if matters {
		s.confirmEngineCache(v)
		event.ServerAnnounced.Write(s.logger, log.Fields{
			"server": v.ID, "service": v.Service, "address": v.Address, "zone": v.Zone, "software": v.Software, "born": v.StartedAt,
			"sequence": v.Sequence, "state": v.State.String(), "silent": v.Silent, "home": v.HomeReplica,
		})
	}
}

// applyMembers records the replicas that the replica at address lists as members.
func (s *site) applyMembers(address string, members []string) {
	s.mu.Lock()
	s.members[address] = members
	s.mu.Unlock()
	s.follow()
}

// Table implements caller.Site.
func (s *site) Table() document.Table {
	if t := s.table.Load(); t != nil {
		return *t
	}
	return nil
}

// Salt implements caller.Site.
func (s *site) Salt(model string, version int64, workspace string) salt.Salt {
	if t := s.table.Load(); t != nil {
		return (*t).Salt(model, version, workspace)
	}
	return salt.Salt{Model: model, Version: version, Isolated: true, Workspace: workspace}
}

// limits returns the limits for callers of the document in force, the zero value without a document.
func (s *site) limits() document.Limits {
	if t := s.Table(); t != nil {
		return t.Document().Limits
	}
	return document.Limits{}
}

// AwaitDocument implements caller.Site.
func (s *site) AwaitDocument(ctx context.Context) {
	select {
	case <-s.firstDocument:
	case <-ctx.Done():
	}
}

// AwaitFreshState implements caller.Site.
func (s *site) AwaitFreshState(ctx context.Context) {
	s.suspension.awaitUpdate(ctx)
}

// startupWait is how long after its start a process waits for the state of the stores and for the first server.
const startupWait = 4 * time.Second

// coldNewsHeartbeats is how many intervals of announcements after it has become cold a server is known to be so.
const coldNewsHeartbeats = 2

// serversPollInterval is the interval of the check whether a server has announced itself.
const serversPollInterval = 10 * time.Millisecond

// AwaitServers implements caller.Site.
func (s *site) AwaitServers(ctx context.Context, known func() bool) {
	for time.Since(s.startedAt) < startupWait && !known() {
		if !wait.For(ctx, serversPollInterval) {
			return
		}
	}
}

// AwaitStores implements caller.Site.
func (s *site) AwaitStores(ctx context.Context) {
	select {
	case <-s.storesKnown:
	case <-ctx.Done():
	}
}

// Servers implements caller.Site.
func (s *site) Servers(service string) []directory.Server {
	if !s.evacuations.known() {
		return nil
	}
	return s.directory.View().Service(service)
}

// Withdrawn implements caller.Site.
func (s *site) Withdrawn(service string) bool {
	return s.evacuations.known() && s.directory.View().Withdrawn(service)
}

// Cold implements caller.Site.
//
// The servers of an evacuated zone may have become cold just before the evacuation ended, and
// their announcements tell it only later.
func (s *site) Cold(v directory.Server, coldTime time.Duration, now time.Time) bool {
	if v.WarmUp > 0 {
		return true
	}
	ago, ok := s.evacuations.sinceEnd(v.Zone, now)
	return ok && ago < coldTime+coldNewsHeartbeats*s.heartbeat
}

// Server implements caller.Site.
func (s *site) Server(id string) (directory.Server, bool) {
	view := s.directory.View()
	v, ok := view.Server(id)
	return v, ok && view.Usable(v)
}

// ObserveLeaving implements caller.Site. Leaving is final for an incarnation, whatever it announces afterwards.
func (s *site) ObserveLeaving(server string, startedAt int64) {
	v, ok := s.directory.Get(server)
	if !ok || v.StartedAt != startedAt || v.State != directory.Ready {
		return
	}
	v.State = directory.Leaving
	s.applyServer(v)
}

// Entries implements caller.Site.
func (s *site) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, s.count.number)
}

// canServe reports whether the entry can serve: a replica that had caught up has sent its whole state.
func (s *site) canServe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Load() != nil && len(s.caughtUp) > 0
}
