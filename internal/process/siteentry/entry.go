package siteentry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/node/dial"
	"hornbeamwood/internal/node/inbound"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/node/tcp"
	"hornbeamwood/internal/node/tunnel"
	"hornbeamwood/internal/policy/backoff"
	"hornbeamwood/internal/policy/reach"
	"hornbeamwood/internal/policy/suspicion"
	"hornbeamwood/internal/process/platform"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/caller"
	"hornbeamwood/internal/serve/limit"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/serve/quarantine"
	"hornbeamwood/internal/serve/retry"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/serve/waitqueue"
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/host"
	"hornbeamwood/internal/site/origin"
	"hornbeamwood/internal/site/parts"
	"hornbeamwood/internal/site/watch"
)

const (
	// closeIdleAfter is the delay from the stop signal to closing the idle connections of callers. The load
	// balancer checks every second and stops sending connections after two failed checks, so the callers' next
	// connections go to other entries.
	closeIdleAfter = 2300 * time.Millisecond
	// refuseAfter is the delay from the stop signal to refusing new requests. A stream lasts seconds; one that
	// started later could be cut off by the end of the process.
	refuseAfter = 2800 * time.Millisecond
	// cutoffMargin is how long before the end of its grace period a process abandons the requests that still
	// run.
	cutoffMargin = 300 * time.Millisecond
	// answerMargin is how long before that callers of requests that still run get a response that says so.
	answerMargin = 200 * time.Millisecond
	// seedsFallbackAfter is how long no replica that has caught up may have answered before the seeds are polled
	// again.
	seedsFallbackAfter = 4 * time.Second
	// followInterval is the interval at which the set of polled replicas is updated.
	followInterval = time.Second
	// stopCheckInterval is the interval of the check whether the last request has ended.
	stopCheckInterval = 50 * time.Millisecond
)

// Config holds the settings and dependencies of a Process.
type Config struct {
	// Host is the VM's configuration and place in the site.
	Host host.Host
	// Load reads the host's settings again.
	Load host.Load
	// Codec translates headers.
	Codec caller.Codec
	// Ready returns the handler of the load balancer's health check. Its argument reports whether the process
	// takes new connections.
	Ready func(ready func() bool) http.Handler
	// Dial connects to backend servers; from the VM's address if it is nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Logger receives the events.
	Logger log.Interface
}

// Process is a running entry of a site.
type Process interface {
	// Run serves until ctx ends and the running requests have ended.
	Run(ctx context.Context) error
}

type process struct {
	config   Config
	node     rpc.Node
	site     *site
	tracker  observe.Tracker
	follower watch.Follower
	hints    *hints
	client   backend.Client
	dialer   dial.Dialer
	paths    reach.Paths
	tunnels  tunnel.Tunnels
	budget   retry.Budget
	limits   limit.Limits
	backoffs backoff.Backoffs
	guard    quarantine.Guard
	handler  http.Handler
	metrics  *metrics.Set
	loops    sync.WaitGroup
	seeds    atomic.Pointer[[]string]
	running  atomic.Int64
	bounds   inbound.Bounds
	account  inbound.Account
	callers  inbound.Server
	gate     *gate
	queue    waitqueue.Queue
	// stoppedAt is when the process received the signal to stop, nil before.
	stoppedAt atomic.Pointer[time.Time]
	// ending ends with end, when requests can wait for servers no longer.
	ending context.Context
	end    context.CancelFunc
}

// New opens the sockets of an entry process.
func New(c Config) (Process, error) {
	if c.Dial == nil {
		dial, err := tcp.DialFrom(c.Host.Internal)
		if err != nil {
			return nil, err
		}
		c.Dial = dial
	}
	residency, queue := parts.NewResidency(), waitqueue.New()
	watcher := fmt.Sprintf("%s/%d", c.Host.Internal, time.Now().UnixNano())
	peerLoads := share.NewPeerLoads(watcher)
	p := &process{config: c, site: newSite(c.Logger, residency, peerLoads, queue.SharedCapacityFreed), tracker: observe.New(), queue: queue, paths: reach.New(), metrics: metrics.NewSet()}
	p.site.weightsDeadline, p.site.heartbeat = c.Host.Bounds.WeightsDeadline, c.Host.Bounds.Heartbeat
	p.seeds.Store(&c.Host.Seeds)
	p.ending, p.end = context.WithCancel(context.Background())
	ring, err := keys.NewOpenRing(c.Host.Internal, keys.Entry)
	if err != nil {
		return nil, err
	}
	if p.node, err = rpc.New(rpc.Config{Listen: c.Host.Internal, Ring: ring, Logger: c.Logger, Metrics: p.metrics}); err != nil {
		return nil, err
	}
	p.site.documents = newDocuments(documentsConfig{fetch: p.fetch, apply: p.site.applyDocument, updated: p.site.suspension.pollAnswered, logger: c.Logger})
	p.hints = newHints(p, watcher)
	p.follower = watch.NewFollower(watch.FollowerConfig{
		Method: watch.Watch, Node: p.node, Watcher: watcher, Entry: true, Zone: c.Host.Zone, Apply: p.apply, Logger: c.Logger, Metrics: p.metrics,
		Sequential: true,
		Prepare:    func(_ string, q *watch.Poll) { q.Relayed = p.site.isRelayed() },
	})
	p.tunnels = p.newTunnels(watcher)
	dials := p.metrics.NewCounter("hornbeamwood_site_dialled_total")
	p.dialer = dial.New(dial.Config{Direct: c.Dial, Tunnel: p.tunnels, Paths: p.paths, Logger: c.Logger})
	p.client = backend.New(backend.Config{
		Belongs: func(attempt string, h http.Header) bool {
			answered := c.Codec.Answer(h).Attempt
			return answered == "" || answered == attempt
		},
		OnDial: dials.Inc,
		Dialer: p.dialer,
		Paths:  p.paths,
	})
	b := c.Host.Bounds
	p.budget = retry.NewBudget(retry.Terms{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack})
	p.limits = limit.New(limit.Config{Random: rand.Float64, OnCapacity: queue.LocalCapacityFreed, Logger: c.Logger})
	p.backoffs = backoff.New()
	p.guard = quarantine.New(quarantine.Config{
		Signs:       p.signs,
		Lag:         func(now time.Time) time.Duration { return p.gate.detector.Lag(now) },
		ReportDelay: p.reportDelay,
		Logger:      c.Logger,
	})
	p.site.applyQuarantine = func(f suspicion.Fingerprint, period suspicion.Period) { p.guard.Apply(f, period, time.Now()) }
	p.handler = caller.New(caller.Config{
		Zone: c.Host.Zone, Codec: c.Codec, Site: p.site, Client: p.client, Tracker: p.tracker, Residency: residency, PeerLoads: peerLoads, Queue: queue,
		Budget: p.budget, Limits: p.limits, Guard: p.guard, Backoffs: p.backoffs, Origins: origin.New(origin.Config{Node: p.node, Zone: c.Host.Zone, Replicas: p.originReplicas, Metrics: p.metrics}), ColdFactor: b.ColdFactor, ColdSlack: b.ColdSlack, Closing: p.closing, Refusing: p.refusing, Ending: p.ending, Isolated: p.isolated, Trial: p.trial, ReportBackoff: p.tunnels.ReportBackoff, Metrics: p.metrics, Logger: c.Logger,
	})
	p.gate = newGate()
	p.bounds = c.Host.Clients.WithMachine(c.Host.MemoryBytes, c.Host.Descriptors, callerDescriptors).WithDefaults()
	p.account = inbound.NewAccount(inbound.AccountConfig{Bounds: p.bounds, Metrics: p.metrics, Logger: c.Logger})
	p.callers = p.callersServer()
	p.registerMetrics()
	return p, nil
}

// signs returns the last signs of a server.
func (p *process) signs(server string) quarantine.Signs {
	s := p.tracker.Stats(server)
	return quarantine.Signs{RespondedAt: s.RespondedAt, SentAt: s.AnsweredSentAt, Incarnation: uint64(s.AnsweredIncarnation)}
}

func (p *process) registerMetrics() {
	p.metrics.NewGauge("hornbeamwood_site_running", func() float64 { return float64(p.running.Load()) })
	p.metrics.NewGauge("hornbeamwood_site_waiting", func() float64 { return float64(p.queue.Len()) })
	p.metrics.NewGauge("hornbeamwood_site_connections", func() float64 { return float64(p.callers.Connections()) })
	p.metrics.NewGauge("hornbeamwood_site_limited_servers", func() float64 { return float64(p.limits.Len()) })
	p.metrics.NewGauge("hornbeamwood_site_brittle_servers", func() float64 { return float64(p.limits.Brittle()) })
	p.metrics.NewGauge("hornbeamwood_site_backoff_servers", func() float64 { return float64(p.backoffs.Len()) })
	p.metrics.NewGauge("hornbeamwood_site_cut_off_servers", func() float64 { return float64(p.paths.Len()) })
	p.metrics.NewGauge("hornbeamwood_site_quarantined", func() float64 { return float64(p.guard.Len()) })
	p.metrics.NewGauge("hornbeamwood_site_document", func() float64 {
		if t := p.site.Table(); t != nil {
			return float64(t.Document().Revision)
		}
		return 0
	})
	p.metrics.NewGauge("hornbeamwood_site_replicas_followed", func() float64 { return float64(p.site.replicasFollowed(time.Now())) })
	p.metrics.NewGauge("hornbeamwood_site_document_behind_seconds", func() float64 { return p.site.documents.behind(time.Now()).Seconds() })
	p.metrics.NewGauge("hornbeamwood_quic_sent_bytes", func() float64 { return float64(p.node.BytesSent()) })
}

func (p *process) apply(address string, a watch.Answer, sent time.Time) {
	p.site.apply(address, a)
	p.site.recordAnswer(sent, time.Now())
	p.site.documents.pollAnswered(sent)
	p.budget.SetEntries(p.site.Entries())
	p.limits.SetEntries(p.site.Entries())
}

// fetch gets chunks of a document from the replica at address.
func (p *process) fetch(ctx context.Context, address string, wanted []chunk.Digest) ([]chunk.Chunk, error) {
	return rpc.Call(ctx, p.node, address, watch.Chunks, wanted)
}

// stopping reports whether the process has received the signal to stop.
func (p *process) stopping() bool {
	return p.stoppedAt.Load() != nil
}

// closing reports whether callers should open their next connections to other entries.
func (p *process) closing() bool {
	return p.stopping() || p.gate.detector.Overloaded()
}

// refusing reports whether the process ends so soon that a new request that takes so long would be cut off.
func (p *process) refusing(expected time.Duration) bool {
	at := p.stoppedAt.Load()
	return at != nil && (time.Since(*at) > refuseAfter || time.Since(*at)+expected > p.answerTime())
}

// answerTime returns the time from the stop signal until the callers of all requests must have a response.
func (p *process) answerTime() time.Duration {
	return p.config.Host.Bounds.Grace - cutoffMargin - answerMargin
}

// ready reports whether the load balancer may send new connections.
func (p *process) ready() bool {
	return !p.stopping() && p.site.canServe() && !p.isolated() && !p.follower.Blind()
}

// isolated reports whether no path leads to any server.
func (p *process) isolated() bool {
	return p.paths.Isolated(time.Now())
}

// trial reports whether a request is tried although the entry is isolated.
func (p *process) trial() bool {
	return p.paths.Trial(time.Now())
}

// Run implements Process.
func (p *process) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p.loops.Go(func() { _ = p.node.Serve(serving) })
	p.follow(serving)
	p.loops.Go(func() { p.refollow(serving) })
	p.loops.Go(func() { p.site.documents.run(serving) })
	p.loops.Go(func() { p.site.suspension.run(serving) })
	p.loops.Go(func() { p.hints.run(serving) })
	p.loops.Go(func() { p.hints.followHolders(serving) })
	p.loops.Go(func() { p.reportPrefills(serving) })
	p.loops.Go(func() { p.reportUsedParts(serving) })
	p.loops.Go(func() { p.reportLoads(serving) })
	p.loops.Go(func() { p.reportLosses(serving) })
	p.loops.Go(func() { p.gate.run(serving) })
	p.loops.Go(func() {
		host.Watch(serving, p.config.Host, p.config.Load, func(h host.Host) { p.seeds.Store(&h.Seeds) }, p.config.Logger)
	})
	if err := p.serve(serving); err != nil {
		stop()
		return errors.Join(err, p.close())
	}
	event.ProcessStarted.Write(p.config.Logger, log.Fields{"role": "entry", "name": p.config.Host.Name, "callers": p.config.Host.Listen, "zone": p.config.Host.Zone})
	<-ctx.Done()
	p.drain()
	stop()
	err := p.close()
	event.ProcessStopped.Write(p.config.Logger, log.Fields{"role": "entry", "name": p.config.Host.Name, "cut": p.running.Load()})
	return err
}

// close waits for the loops, which have been told to end, and closes the connections.
func (p *process) close() error {
	p.end()
	p.follower.Wait()
	p.hints.follower.Wait()
	p.loops.Wait()
	p.client.Close()
	p.dialer.Close()
	return p.node.Close()
}

// follow polls the seeds and then the replicas that any of them lists.
func (p *process) follow(ctx context.Context) {
	p.site.follow = func() { p.follower.Follow(ctx, p.addresses()) }
	p.site.follow()
}

// addresses returns the replicas to poll: the listed ones, and also the seeds while none of the listed ones says
// that it has caught up. A replica that is cut off from the others may answer for ever, with what it last knew.
func (p *process) addresses() []string {
	p.site.mu.Lock()
	members := p.site.members.union()
	caughtUp := slices.ContainsFunc(members, func(m string) bool {
		at, ok := p.site.caughtUp[m]
		return ok && time.Since(at) < seedsFallbackAfter
	})
	p.site.mu.Unlock()
	if caughtUp {
		return members
	}
	all := slices.Concat(members, *p.seeds.Load())
	slices.Sort(all)
	return slices.Compact(all)
}

// refollow updates the polled replicas when the seeds have changed or no replica answers any more.
func (p *process) refollow(ctx context.Context) {
	t := time.NewTicker(followInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.follower.Follow(ctx, p.addresses())
		}
	}
}

// serve listens for callers, the load balancer and metrics scrapes.
func (p *process) serve(ctx context.Context) error {
	if err := p.listen(ctx, p.config.Host.Listen, p.callers); err != nil {
		return err
	}
	if err := p.listen(ctx, p.config.Host.Ready, p.platformServer("readiness", p.config.Ready(p.ready))); err != nil {
		return err
	}
	if p.config.Host.Metrics == "" {
		return nil
	}
	return p.listen(ctx, p.config.Host.Metrics, p.platformServer("metrics", platform.New(platform.Config{Ready: p.readinessError, Metrics: p.metrics})))
}

// callersServer returns the server of callers, whose limits are those of the document in force.
func (p *process) callersServer() inbound.Server {
	return inbound.New(inbound.Config{
		Name: "callers", Handler: http.HandlerFunc(p.serveCounted), ReadsBodies: true, Account: p.account, Connections: p.bounds.Connections,
		Limits: p.callerLimits, Refuses: p.gate.refuses, Metrics: p.metrics, Logger: p.config.Logger,
	})
}

// platformServer returns a server for health checks by the load balancer or metrics scrapes.
func (p *process) platformServer(name string, h http.Handler) inbound.Server {
	return inbound.NewPlatformServer(inbound.Config{Name: name, Handler: h, Account: p.account, Metrics: p.metrics, Logger: p.config.Logger})
}

// listen serves on an address until ctx ends.
func (p *process) listen(ctx context.Context, address string, s inbound.Server) error {
	l, err := tcp.Listen(ctx, address, p.bounds.ReceiveBytes)
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	p.loops.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			event.NoticeRefused.Write(p.config.Logger, log.Fields{"notice": "listen " + address, "error": err.Error()})
		}
	})
	p.loops.Go(func() {
		<-ctx.Done()
		// The remaining requests have already had the whole grace period.
		_ = s.Close()
	})
	return nil
}

func (p *process) readinessError() error {
	if !p.ready() {
		return errors.New("the entry has no document yet, reaches no server, can't read what the replicas answer, or stops")
	}
	return nil
}

func (p *process) serveCounted(w http.ResponseWriter, q *http.Request) {
	p.running.Add(1)
	defer p.running.Add(-1)
	p.handler.ServeHTTP(w, q)
}

// drain keeps serving until the load balancer has stopped sending connections and the last request has ended, also
// the last one of another entry that passes through this one, or until the deadline.
//
// Requests keep arriving for a while on new and kept connections. Each response asks the caller to open its next
// connection, which then goes to another entry. A connection that stays idle could bring its next request at any
// time, perhaps too late for a stream to end, so idle connections are closed earlier.
func (p *process) drain() {
	startedAt := time.Now()
	deadline := startedAt.Add(p.config.Host.Bounds.Grace - cutoffMargin)
	p.stoppedAt.Store(&startedAt)
	event.ProcessStopping.Write(p.config.Logger, log.Fields{"role": "entry", "name": p.config.Host.Name, "running": p.running.Load(), "connections": p.callers.Connections()})
	ending := time.AfterFunc(p.answerTime(), p.end)
	defer ending.Stop()
	idleAfter := min(closeIdleAfter, p.answerTime()/2)
	idleClosed := false
	for time.Now().Before(deadline) {
		if !idleClosed && time.Since(startedAt) >= idleAfter {
			p.callers.CloseIdle()
			idleClosed = true
		}
		if p.refusing(0) {
			// The rest of a body that comes this late is of no use.
			p.callers.InterruptBodies()
		}
		if p.refusing(0) && p.running.Load() == 0 && p.tunnels.Served() == 0 {
			return
		}
		time.Sleep(stopCheckInterval)
	}
}
