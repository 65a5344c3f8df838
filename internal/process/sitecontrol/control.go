package sitecontrol

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/admission"
	controllease "hornbeamwood/internal/control/lease"
	"hornbeamwood/internal/control/quarantine"
	"hornbeamwood/internal/control/quic"
	"hornbeamwood/internal/control/raft"
	"hornbeamwood/internal/control/replica"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/node/boottime"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/policy/backoff"
	"hornbeamwood/internal/settings/lease"
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/host"
	"hornbeamwood/internal/site/origin"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/section"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
	"hornbeamwood/internal/site/weights"
)

const (
	// stopTimeout bounds the transfer of leadership; a stop without a quorum must end too.
	stopTimeout = 3 * time.Second
)

// Config is what a Process needs.
type Config struct {
	// Host holds the VM's own settings within the site.
	Host host.Host
	// Load reads the host's settings again.
	Load host.Load
	// Handler returns the HTTP handler of the site's protocol for operators and servers.
	Handler func(s Service) http.Handler
	// Engines is the client of engines, Stores that of stores.
	Engines weights.Client
	Stores  stores.Client
	// Logger receives the events.
	Logger log.Interface
}

// Process is a running control replica of a site.
type Process interface {
	// Run serves until ctx ends or the disk fails; it returns nil after a graceful stop.
	Run(ctx context.Context) error
}

type process struct {
	config         Config
	host           atomic.Pointer[host.Host]
	node           rpc.Node
	transport      quic.Transport
	replica        replica.Replica
	leader         quic.Leader
	section        section.Section
	quarantine     quarantine.Section
	quarantineRows quarantineRows
	table          rowtable.Table
	leaseRows      leaseRows
	follower       watch.Follower
	servers        *announcements
	admission      admission.Reconciler
	metrics        *metrics.Set
	rejections     *rejections
	software       *softwareRecorder
	loops          sync.WaitGroup
	peers          atomic.Pointer[[]string]
	leaseHolder    *leaseHolder
	relay          *relay
	watchServer    watch.Server
	storeFollower  *storeFollower
	// shownRevision is the revision of the document in the row table.
	shownRevision atomic.Int64
	mu            sync.Mutex
	// loaded holds the weights that the rollout has loaded on each engine, by its ID.
	loaded map[string]topic.LoadedWeights
	// shownSoftware holds the services of which versions are in the row table.
	shownSoftware map[string]bool
}

// New opens the data folder and the sockets of a control process.
func New(c Config) (Process, error) {
	r := &backoffCaller{backoffs: backoff.New(), logger: c.Logger}
	c.Engines, c.Stores = backoffEngines{r, c.Engines}, backoffStores{r, c.Stores}
	p := &process{config: c, metrics: metrics.NewSet(), table: rowtable.New(uint64(time.Now().UnixNano())), loaded: map[string]topic.LoadedWeights{}, shownSoftware: map[string]bool{}}
	p.rejections = &rejections{logger: c.Logger, metrics: p.metrics}
	p.host.Store(&c.Host)
	p.shownRevision.Store(noDocument)
	p.peers.Store(&c.Host.Seeds)
	ring, err := keys.NewOpenRing(c.Host.Internal, keys.Control)
	if err != nil {
		return nil, err
	}
	if p.node, err = rpc.New(rpc.Config{Listen: c.Host.Internal, Ring: ring, Logger: c.Logger, Metrics: p.metrics}); err != nil {
		return nil, err
	}
	p.section = section.New(section.Config{Changed: p.showState})
	p.software = newSoftwareRecorder(softwareRecorderConfig{
		home: c.Host.Internal, section: p.section, servers: func() []directory.Server { return p.servers.directory.All() },
		isLeader: p.isLeader, change: p.change, logger: c.Logger,
	})
	p.quarantine = quarantine.New(quarantine.Config{Changed: p.showQuarantine})
	m, err := state.New(p.section, controllease.New(), p.quarantine)
	if err != nil {
		return nil, errors.Join(err, p.node.Close())
	}
	p.transport = quic.NewTransport(p.node)
	if p.replica, err = replica.New(p.replicaConfig(m)); err != nil {
		p.transport.Close()
		return nil, errors.Join(err, p.node.Close())
	}
	p.leader = quic.Register(quic.Config{Node: p.node, Replica: p.replica, Machine: m, Leases: quic.NewLeases(lease.NewHolders(nil), noTerms{}, time.Now)})
	p.setUpOrders(m)
	p.setUpWatch()
	p.admission = admission.NewReconciler(admission.Config{Replica: p.replica, Peers: peers{p.node, p.transport}, Addresses: p.addresses, Logger: c.Logger})
	p.registerMetrics()
	p.showState()
	p.showQuarantine()
	return p, nil
}

// noTerms implements quic.Terms for a site without a settings tree, where no entry holds a settings lease.
type noTerms struct{}

// Terms implements quic.Terms.
func (noTerms) Terms() lease.Terms { return lease.Terms{} }

func (p *process) replicaConfig(m state.Machine) replica.Config {
	h := p.config.Host
	c := replica.Config{
		Name: h.Internal, Address: h.Internal, Folder: h.DataFolder,
		Transport: p.transport, Machine: m, Logger: p.config.Logger,
		JoinOnly: !h.FirstStart, ReplaceDamaged: true, Peers: func() []string { return *p.peers.Load() },
	}
	for _, s := range h.Seeds {
		c.Seeds = append(c.Seeds, replica.Seed{Name: s, Address: s})
	}
	return c
}

// setUpOrders sets up the lease for orders and what this replica does while it holds it.
func (p *process) setUpOrders(m state.Machine) {
	orderDelay := p.config.Host.Bounds.Lease
	if orderDelay <= 0 {
		orderDelay = defaultOrderDelay
	}
	p.leaseHolder = &leaseHolder{
		name: p.config.Host.Internal, orderDelay: orderDelay, startedAt: boottime.Now(),
		propose: p.leader.Propose, isLeader: p.isLeader, current: func() (controllease.Lease, bool) { return p.currentLease(m) }, logger: p.config.Logger,
	}
	p.storeFollower = &storeFollower{process: p, client: p.config.Stores, clock: stores.NewClock(), starts: newStoreStarts(), followed: map[string]*followedStore{}, restartChecks: map[string]context.CancelFunc{}}
}

// setUpWatch sets up the relay, the rows that this replica serves and those that it follows.
func (p *process) setUpWatch() {
	p.relay = newRelay(relayConfig{
		node: p.node, self: p.config.Host.Internal, zone: p.config.Host.Zone, epoch: p.table.Epoch(),
		caughtUp: func() bool { return p.replica.Status().CaughtUp }, siteEntries: func() int { return p.watchServer.Entries() }, logger: p.config.Logger,
	})
	server := watch.NewServer(watch.Config{
		Method: watch.Watch, Zone: p.config.Host.Zone, Excluded: topic.RelayedOnly, Node: p.node, Table: p.table,
		CaughtUp: func() bool { return p.replica.Status().CaughtUp },
		Holder:   func() (uint64, int64) { return p.leaseHolder.fencingNumber(), p.storeFollower.clock.Now() },
	})
	p.watchServer = server
	rpc.Handle(p.node, watch.Chunks, func(_ context.Context, _ rpc.Peer, wanted []chunk.Digest) ([]chunk.Chunk, error) {
		active, _ := p.section.Active()
		return chunksOf(active, wanted), nil
	})
	rpc.Handle(p.node, watch.Peers, func(_ context.Context, _ rpc.Peer, q watch.PeersQuery) ([]watch.Peer, error) {
		return server.Peers(q), nil
	})
	origins := origin.NewStore()
	origin.Serve(p.node, origins, p.softwareOf)
	p.metrics.NewGauge("hornbeamwood_site_origins", func() float64 { return float64(origins.Len()) })
	rpc.Receive(p.node, watch.PartUses, func(_ rpc.Peer, hashes []uint64) { p.storeFollower.use(hashes) })
	p.follower = watch.NewFollower(watch.FollowerConfig{
		Method: watch.Watch, Node: p.node, Watcher: fmt.Sprintf("%s/%d", p.config.Host.Internal, p.table.Epoch()), Apply: p.applyRows, Prepare: p.relay.prepare, Logger: p.config.Logger, Metrics: p.metrics,
	})
	p.servers = &announcements{
		observe: p.software.observe,
		home:    p.config.Host.Internal, heartbeat: p.config.Host.Bounds.Heartbeat,
		directory: directory.New(), table: p.table, watchServer: server,
		replicas:      func() int { return len(p.replica.Status().Members) },
		sinceContact:  p.follower.SinceAnswer,
		caughtUp:      func() bool { return p.replica.Status().CaughtUp },
		logger:        p.config.Logger,
		lastAnnounced: map[string]time.Time{}, lastChanged: map[string]time.Time{}, lastSweep: time.Now(),
	}
	p.metrics.NewGauge("hornbeamwood_site_entries", func() float64 { return float64(server.Entries()) })
}

// registerMetrics registers the process's metrics.
func (p *process) registerMetrics() {
	gauge := func(name string, value func(replica.Status) uint64) {
		p.metrics.NewGauge("hornbeamwood_control_"+name, func() float64 { return float64(value(p.replica.Status())) })
	}
	gauge("term", func(s replica.Status) uint64 { return s.Term })
	gauge("commit_index", func(s replica.Status) uint64 { return s.Commit })
	gauge("applied_index", func(s replica.Status) uint64 { return s.Applied })
	gauge("voters", func(s replica.Status) uint64 { return uint64(raft.NewConfiguration(s.Members...).Voters()) })
	p.metrics.NewGauge("hornbeamwood_site_document", func() float64 {
		active, _ := p.section.Active()
		return float64(active.Document.Revision)
	})
	p.metrics.NewGauge("hornbeamwood_site_quarantined", p.countQuarantined)
	p.metrics.NewGauge("hornbeamwood_quic_sent_bytes", func() float64 { return float64(p.node.BytesSent()) })
}

// showState copies the state of the log to the row table.
func (p *process) showState() {
	if active, ok := p.section.Active(); ok {
		p.showDocument(active)
	}
	for model, version := range p.section.TargetVersions() {
		p.put(topic.TargetVersions, model, version)
	}
	for model, at := range p.section.TargetVersionTimes() {
		p.put(topic.TargetVersionTimes, model, at)
	}
	for zone, e := range p.section.Evacuations() {
		p.put(topic.Evacuations, zone, e)
	}
	p.showSoftware()
	p.software.observeState()
}

// put sets a row and returns the table's revision of its last change, zero when the value can't be encoded.
func (p *process) put(t rowtable.Topic, key string, value any) uint64 {
	b, ok := p.encode(t, key, value)
	if !ok {
		return 0
	}
	return p.table.Put(t, key, b)
}

// encode encodes the value of a row, and returns false if it can't be encoded.
func (p *process) encode(t rowtable.Topic, key string, value any) ([]byte, bool) {
	b, err := codec.Marshal(value)
	if err != nil {
		event.AnnouncementNotAcknowledged.Write(p.config.Logger, log.Fields{"topic": t, "key": key, "error": err.Error()})
		return nil, false
	}
	if len(b) > rowtable.MaxAnswerBytes {
		event.RowTooLarge.Write(p.config.Logger, log.Fields{"topic": t, "key": key, "bytes": len(b), "most": rowtable.MaxAnswerBytes})
	}
	return b, true
}

// applyRows applies the rows of another replica: its servers, and what the relay passes
// on to entries. Other rows are ignored, because this replica has its own copy of the log.
func (p *process) applyRows(address string, a watch.Answer, _ time.Time) {
	p.relay.mirrors.Apply(address, a)
	for _, r := range a.Rows {
		if r.Topic != topic.Servers || len(r.Value) == 0 {
			continue
		}
		s, err := codec.Unmarshal[directory.Server](r.Value)
		if err != nil {
			event.NoticeRefused.Write(p.config.Logger, log.Fields{"notice": "server row", "error": err.Error()})
			continue
		}
		p.servers.merge(s)
	}
}

// Run implements Process.
func (p *process) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p.loops.Go(func() {
		if err := p.node.Serve(serving); err != nil && serving.Err() == nil {
			event.ReplicaFailed.Write(p.config.Logger, log.Fields{"replica": p.config.Host.Internal, "error": err.Error()})
		}
	})
	p.loops.Go(func() { p.admission.Run(serving) })
	p.loops.Go(func() { p.servers.run(serving) })
	p.loops.Go(func() { p.software.run(serving) })
	p.loops.Go(func() { p.followMembers(serving) })
	p.loops.Go(func() { p.leaseHolder.run(serving) })
	p.loops.Go(func() { p.storeFollower.run(serving) })
	p.loops.Go(func() {
		(&engineCacheFollower{process: p, client: p.config.Stores, following: map[string]context.CancelFunc{}}).run(serving)
	})
	p.loops.Go(func() { p.relay.run(serving, p.addresses) })
	p.loops.Go(func() { p.relay.mirrorSelf(serving, p.table, p.leaseHolder.fencingNumber) })
	p.loops.Go(func() {
		weights.New(weights.Config{Client: p.config.Engines, Site: weightsSite{p}, Deadline: p.config.Host.Bounds.WeightsDeadline, Logger: p.config.Logger}).Run(serving)
	})
	p.loops.Go(func() {
		host.Watch(serving, p.config.Host, p.config.Load, func(h host.Host) { p.host.Store(&h) }, p.config.Logger)
	})
	if err := p.serve(serving); err != nil {
		err = errors.Join(err, p.close())
		stop()
		p.loops.Wait()
		return err
	}
	event.ProcessStarted.Write(p.config.Logger, log.Fields{"role": "control", "name": p.config.Host.Name, "quic": p.node.Address(), "zone": p.config.Host.Zone})
	select {
	case <-ctx.Done():
	case <-p.replica.Done():
	}
	event.ProcessStopping.Write(p.config.Logger, log.Fields{"role": "control", "name": p.config.Host.Name})
	p.leaseHolder.release(serving)
	err := p.close()
	stop()
	p.loops.Wait()
	event.ProcessStopped.Write(p.config.Logger, log.Fields{"role": "control", "name": p.config.Host.Name})
	return err
}

// close transfers leadership before it closes the connections, because the transfer needs them.
func (p *process) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := p.replica.Stop(ctx)
	if failed := p.replica.Err(); failed != nil {
		err = fmt.Errorf("control: the replica ended by itself: %w", failed)
	}
	p.transport.Close()
	return errors.Join(err, p.node.Close())
}
