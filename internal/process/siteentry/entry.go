package siteentry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/node/tcp"
	"hornbeamwood/internal/process/platform"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/caller"
	"hornbeamwood/internal/serve/limit"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/serve/retry"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/serve/waitqueue"
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/host"
	"hornbeamwood/internal/site/parts"
	"hornbeamwood/internal/site/watch"
)

const (
	// headerTimeout bounds how long the headers of a check by the balancer or the collector of metrics may take.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the headers that are read before the document's limit is looked at.
	maxHeaderBytes = 1 << 20
	// closeIdleAfter is how long after the signal to stop the idle connections of
	// callers are closed: the balancer asks every second and turns away after two
	// answers, so that their next connections go to other entries.
	closeIdleAfter = 2300 * time.Millisecond
	// refuseAfter is how long after the signal new requests are refused. A stream
	// lasts seconds; one that began later could be cut off by the end of the process.
	refuseAfter = 2800 * time.Millisecond
	// lastCut is how long before its end a process leaves the requests that still run.
	lastCut = 300 * time.Millisecond
	// seedsAfter is how long no replica must have answered until the seeds are asked again.
	seedsAfter = 4 * time.Second
	// followInterval is the time between two looks whom to poll.
	followInterval = time.Second
	// stopLook is the time between two looks whether the last request has ended.
	stopLook = 50 * time.Millisecond
)

// Config is what a Process needs.
type Config struct {
	// Host is the VM's place in the site.
	Host host.Host
	// Load reads the host's settings anew.
	Load host.Load
	// Codec translates headers.
	Codec caller.Codec
	// Ready answers the balancer's check whether the process takes new connections; it is given that answer.
	Ready func(ready func() bool) http.Handler
	// Logger takes the events.
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
	budget   retry.Budget
	limits   limit.Limits
	handler  http.Handler
	metrics  *metrics.Set
	loops    sync.WaitGroup
	seeds    atomic.Pointer[[]string]
	running  atomic.Int64
	conns    *conns
	line     waitqueue.Queue
	// stopped is when the process was told to stop, nil before.
	stopped atomic.Pointer[time.Time]
}

// New opens the sockets of an entry process.
func New(c Config) (Process, error) {
	memory, waiting := parts.NewResidency(), waitqueue.New()
	watcher := fmt.Sprintf("%s/%d", c.Host.Internal, time.Now().UnixNano())
	others := share.NewPeerLoads(watcher)
	p := &process{config: c, site: newSite(c.Logger, memory, others, waiting.SharedCapacityFreed), tracker: observe.New(), conns: newConns(), line: waiting, metrics: metrics.NewSet()}
	p.site.weights = c.Host.Bounds.WeightsDeadline
	p.seeds.Store(&c.Host.Seeds)
	ring, err := keys.NewOpenRing(c.Host.Internal, keys.Entry)
	if err != nil {
		return nil, err
	}
	if p.node, err = rpc.New(rpc.Config{Listen: c.Host.Internal, Ring: ring, Logger: c.Logger, Metrics: p.metrics}); err != nil {
		return nil, err
	}
	p.site.documents = newDocuments(documentsConfig{fetch: p.fetch, take: p.site.takeDocument, news: p.site.thaw.heard, logger: c.Logger})
	p.hints = newHints(p, watcher)
	p.follower = watch.NewFollower(watch.FollowerConfig{
		Method: watch.Watch, Node: p.node, Watcher: watcher, Entry: true, Apply: p.take, Logger: c.Logger,
		Sequential: true,
		Prepare:    func(_ string, q *watch.Poll) { q.Relayed = p.site.isRelayed() },
	})
	dialled := p.metrics.NewCounter("hornbeamwood_site_dialled_total")
	p.client = backend.New(backend.Config{
		Belongs: func(attempt string, h http.Header) bool {
			told := c.Codec.Answer(h).Attempt
			return told == "" || told == attempt
		},
		Dialled: dialled.Inc,
	})
	b := c.Host.Bounds
	p.budget = retry.NewBudget(retry.Terms{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack})
	p.limits = limit.New(limit.Config{Random: rand.Float64, OnCapacity: waiting.LocalCapacityFreed, Logger: c.Logger})
	p.handler = caller.New(caller.Config{
		Zone: c.Host.Zone, Codec: c.Codec, Site: p.site, Client: p.client, Tracker: p.tracker, Residency: memory, PeerLoads: others, Queue: waiting,
		Budget: p.budget, Limits: p.limits, Stopping: p.stopping, Refusing: p.refusing, Metrics: p.metrics, Logger: c.Logger,
	})
	p.gauges()
	return p, nil
}

func (p *process) gauges() {
	p.metrics.NewGauge("hornbeamwood_site_running", func() float64 { return float64(p.running.Load()) })
	p.metrics.NewGauge("hornbeamwood_site_waiting", func() float64 { return float64(p.line.Len()) })
	p.metrics.NewGauge("hornbeamwood_site_connections", func() float64 { return float64(p.conns.count()) })
	p.metrics.NewGauge("hornbeamwood_site_limited_servers", func() float64 { return float64(p.limits.Len()) })
	p.metrics.NewGauge("hornbeamwood_site_document", func() float64 {
		if t := p.site.Table(); t != nil {
			return float64(t.Document().Revision)
		}
		return 0
	})
	p.metrics.NewGauge("hornbeamwood_quic_sent_bytes", func() float64 { return float64(p.node.BytesSent()) })
}

func (p *process) take(address string, a watch.Answer, sent time.Time) {
	p.site.take(address, a)
	p.site.documents.heard(sent)
	p.budget.SetEntries(p.site.Entries())
	p.limits.SetEntries(p.site.Entries())
}

// fetch gets chunks of a document from the replica at address.
func (p *process) fetch(ctx context.Context, address string, wanted []chunk.Digest) ([]chunk.Chunk, error) {
	return rpc.Call(ctx, p.node, address, watch.Chunks, wanted)
}

// stopping returns whether the process was told to stop.
func (p *process) stopping() bool {
	return p.stopped.Load() != nil
}

// refusing returns whether the process ends so soon that a new request would be cut off.
func (p *process) refusing() bool {
	at := p.stopped.Load()
	return at != nil && time.Since(*at) > refuseAfter
}

// ready returns whether the balancer may send new connections.
func (p *process) ready() bool {
	return !p.stopping() && p.site.current()
}

// Run implements Process.
func (p *process) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p.follow(serving)
	p.loops.Go(func() { p.refollow(serving) })
	p.loops.Go(func() { p.site.documents.run(serving) })
	p.loops.Go(func() { p.site.thaw.run(serving) })
	p.loops.Go(func() { p.hints.run(serving) })
	p.loops.Go(func() { p.hints.followLeads(serving) })
	p.loops.Go(func() { p.tellReadings(serving) })
	p.loops.Go(func() { p.tellUses(serving) })
	p.loops.Go(func() { p.tellLoads(serving) })
	p.loops.Go(func() { p.expireAll(serving) })
	p.loops.Go(func() {
		host.Watch(serving, p.config.Host, p.config.Load, func(h host.Host) { p.seeds.Store(&h.Seeds) }, p.config.Logger)
	})
	if err := p.serve(serving); err != nil {
		return err
	}
	event.ProcessStarted.Write(p.config.Logger, log.Fields{"role": "entry", "name": p.config.Host.Name, "callers": p.config.Host.Listen, "zone": p.config.Host.Zone})
	<-ctx.Done()
	p.drain()
	stop()
	p.follower.Wait()
	p.hints.follower.Wait()
	p.loops.Wait()
	p.client.Close()
	err := p.node.Close()
	event.ProcessStopped.Write(p.config.Logger, log.Fields{"role": "entry", "name": p.config.Host.Name, "cut": p.running.Load()})
	return err
}

// follow polls the seeds and then the replicas that any of them names.
func (p *process) follow(ctx context.Context) {
	p.site.follow = func() { p.follower.Follow(ctx, p.addresses()) }
	p.site.follow()
}

// addresses returns whom to poll: the replicas that are named, and the seeds while none of these answers.
func (p *process) addresses() []string {
	p.site.mu.Lock()
	members := p.site.members.union()
	p.site.mu.Unlock()
	for _, m := range members {
		if ago, ok := p.follower.SinceAnswer(m); ok && ago < seedsAfter {
			return members
		}
	}
	all := slices.Concat(members, *p.seeds.Load())
	slices.Sort(all)
	return slices.Compact(all)
}

// refollow polls others when the seeds have changed or no replica answers any more.
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

// serve listens for callers, the balancer and the collector of metrics.
func (p *process) serve(ctx context.Context) error {
	// Timeouts of callers come with the document: expireAll applies them.
	callers := &http.Server{
		Handler:        http.HandlerFunc(p.count),
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      p.conns.changed,
	}
	if err := p.listen(ctx, p.config.Host.Listen, callers); err != nil {
		return err
	}
	if err := p.listen(ctx, p.config.Host.Ready, &http.Server{Handler: p.config.Ready(p.ready), ReadHeaderTimeout: headerTimeout}); err != nil {
		return err
	}
	if p.config.Host.Metrics == "" {
		return nil
	}
	return p.listen(ctx, p.config.Host.Metrics, &http.Server{Handler: platform.New(platform.Config{Ready: p.why, Metrics: p.metrics}), ReadHeaderTimeout: headerTimeout})
}

// listen serves on an address until ctx ends.
//
// Only connections of a server that tells their states are followed: of others
// the entry would never hear that they have closed.
func (p *process) listen(ctx context.Context, address string, s *http.Server) error {
	l, err := tcp.Listen(ctx, address)
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	if s.ConnState != nil {
		l = listener{l, p.conns}
	}
	p.loops.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			event.NoticeRefused.Write(p.config.Logger, log.Fields{"notice": "listen " + address, "error": err.Error()})
		}
	})
	p.loops.Go(func() {
		<-ctx.Done()
		// What still runs was given all the time that there was.
		_ = s.Close()
	})
	return nil
}

func (p *process) why() error {
	if !p.ready() {
		return errors.New("the entry has no document yet, or stops")
	}
	return nil
}

func (p *process) count(w http.ResponseWriter, q *http.Request) {
	p.running.Add(1)
	defer p.running.Add(-1)
	p.handler.ServeHTTP(w, q)
}

// drain serves on until the balancer has turned away and the last request has ended, or the time is up.
//
// Requests keep coming for a while on new and kept connections; each answer
// asks the caller to open its next connection, which then goes elsewhere. A
// connection that stays idle brings its next request at any time, perhaps too
// late for a stream to end, so the idle ones are closed before.
func (p *process) drain() {
	began := time.Now()
	last := began.Add(p.config.Host.Bounds.Grace - lastCut)
	p.stopped.Store(&began)
	event.ProcessStopping.Write(p.config.Logger, log.Fields{"role": "entry", "name": p.config.Host.Name, "running": p.running.Load(), "connections": p.conns.count()})
	closed := false
	for time.Now().Before(last) {
		if !closed && time.Since(began) >= closeIdleAfter {
			p.conns.closeIdle()
			closed = true
		}
		if p.refusing() && p.running.Load() == 0 {
			return
		}
		time.Sleep(stopLook)
	}
}
