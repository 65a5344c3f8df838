package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"hornbeamwood/internal/cache/directory"
	cacheengine "hornbeamwood/internal/cache/engine"
	cachequic "hornbeamwood/internal/cache/quic"
	"hornbeamwood/internal/cache/store"
	"hornbeamwood/internal/entry/backend"
	"hornbeamwood/internal/entry/caller"
	entrycalls "hornbeamwood/internal/entry/calls"
	"hornbeamwood/internal/entry/completion"
	"hornbeamwood/internal/entry/control"
	"hornbeamwood/internal/entry/engine"
	"hornbeamwood/internal/entry/operator"
	"hornbeamwood/internal/entry/picker"
	"hornbeamwood/internal/entry/quarantine"
	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/entry/settings"
	"hornbeamwood/internal/entry/status"
	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/fleet/orders"
	fleetquic "hornbeamwood/internal/fleet/quic"
	"hornbeamwood/internal/node/inbound"
	"hornbeamwood/internal/policy/admission"
	"hornbeamwood/internal/policy/backoff"
	"hornbeamwood/internal/policy/outage"
	"hornbeamwood/internal/policy/placement"
	"hornbeamwood/internal/policy/retry"
	"hornbeamwood/internal/policy/route"
	"hornbeamwood/internal/process/platform"
	"hornbeamwood/internal/settings/follower"
	"hornbeamwood/internal/settings/lease"
	"hornbeamwood/internal/settings/rules"
)

// reusePrior is the assumed share of prompts that are reused, as long as there are no observations.
const reusePrior = 0.5

// quarantineInterval is the time between two reads of the quarantine's record; suspects are reported to other entries at once.
const quarantineInterval = 2 * time.Second

// build creates the components and registers the handlers of the QUIC node.
func (p *process) build() (components, error) {
	var x components
	name, logger := p.config.File.Name, p.config.Logger
	x.control = control.New(control.Config{Node: p.node, Replicas: p.replicas()})
	x.settings = settings.NewLeasedSettings(settings.Config{
		Log:      x.control,
		Holder:   lease.Holder{Name: name, Incarnation: p.incarnation},
		Follower: follower.New(),
		Now:      time.Now,
		Logger:   logger,
	})
	if err := p.buildFleet(&x); err != nil {
		return x, err
	}
	p.buildCache(&x)
	if err := p.buildGuard(&x); err != nil {
		return x, err
	}
	x.backoffs = backoff.New()
	p.buildDialer(&x)
	x.engines = engine.New(engine.Config{Dial: x.dial, Logger: logger})
	retries := retry.New(retry.Config{})
	x.services = p.buildServices(&x, retries)
	x.router = p.buildRouter(&x, retries)
	p.registerMetrics(&x)
	x.caller = caller.New(caller.Config{
		Snapshots: x.settings,
		Completer: x.router,
		Services:  calls{client: x.services, retries: retries, settings: x.settings, region: p.config.File.Region},
		Bounds:    p.config.File.Clients.Bounds(),
		Logger:    logger,
	})
	return x, nil
}

func (p *process) buildFleet(x *components) error {
	x.table = membership.New(membership.Config{})
	g, err := membership.NewGossip(membership.GossipConfig{
		Self:        p.config.File.Name,
		Start:       time.Now(),
		Incarnation: uint32(time.Now().Unix()),
		Table:       x.table,
		Random:      newRandom(),
	})
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	x.work = g.Work()
	x.leaveNotifier = g
	x.gossip = fleetquic.New(fleetquic.Config{Node: p.node, Gossip: g, Addresses: p.peers(), Now: time.Now})
	return nil
}

func (p *process) buildCache(x *components) {
	x.stores = store.New(newHTTPClient())
	x.orders = backend.NewEngine(newHTTPClient())
	x.exports = cacheengine.NewExports(cacheengine.Config{Engine: x.orders, Heads: x.stores})
	x.directory = directory.New(directory.Config{Start: time.Now()})
	x.cache = cachequic.New(cachequic.Config{
		Node:            p.node,
		Self:            p.config.File.Name,
		Addresses:       p.peers(),
		Directory:       x.directory,
		Deleter:         deleter{table: x.table, stores: x.stores},
		Lister:          x.stores,
		Stores:          readyStores(x.table),
		Incarnation:     incarnations(x.table),
		EachIncarnation: eachIncarnation(x.table),
		Now:             time.Now,
	})
}

// buildGuard builds the guard against requests that crash backend servers, and the component that gives them orders.
func (p *process) buildGuard(x *components) error {
	suspects := fleetquic.NewSuspects(fleetquic.SuspectsConfig{
		Node:      p.node,
		Addresses: p.peers(),
		OnReport:  func(f [32]byte) { x.guard.MarkSuspect(f) },
	})
	x.guard = quarantine.New(quarantine.Config{
		Log:           x.control,
		ReportSuspect: func(ctx context.Context, f completion.Fingerprint) { suspects.Report(ctx, f) },
		Limits: func() quarantine.Limits {
			f := x.settings.View().Rules.Fleet
			return quarantine.Limits{Servers: f.QuarantineServers, Window: f.QuarantineWindow}
		},
		Incarnation: incarnations(x.table),
		Interval:    quarantineInterval,
		Logger:      p.config.Logger,
	})
	issuer, err := backend.NewOrderIssuer(backend.OrderIssuerConfig{
		Holder:     fmt.Sprintf("%s-%d", p.config.File.Name, p.incarnation),
		Controller: orders.New(orders.Config{}),
		Log:        x.control,
		Engines:    x.orders,
		Servers:    x.table,
		Settings:   func() *rules.Snapshot { return x.settings.View().Rules },
		Now:        time.Now,
		Logger:     p.config.Logger,
	})
	x.orderIssuer = issuer
	return err
}

func (p *process) buildServices(x *components, retries retry.Policy) service.Client {
	age := func() time.Duration { return x.settings.View().Rules.Fleet.AnnouncementAge }
	evacuated := func() []string { return x.settings.View().Rules.Fleet.EvacuatedZones }
	outages := outage.New()
	return service.New(service.Config{
		Log: x.control,
		Picker: picker.New(picker.Config{
			Servers: x.table, Work: x.work, MaxAnnouncementAge: age, EvacuatedZones: evacuated, Backoffs: x.backoffs, Outages: outages, Zone: p.config.File.Zone,
			Now: time.Now, Random: newRandom(), Logger: p.config.Logger,
		}),
		Backoffs:    x.backoffs,
		Outages:     outages,
		Guard:       x.guard.Calls(),
		Budget:      newBudget(retries, x.settings),
		Entry:       p.config.File.Name,
		Incarnation: p.incarnation,
		Dial:        x.dial,
		Logger:      p.config.Logger,
	})
}

func (p *process) buildRouter(x *components, retries retry.Policy) completion.Router {
	return completion.New(completion.Config{
		Servers:        x.table,
		Work:           x.work,
		Cache:          x.cache,
		Engines:        x.engines,
		Exports:        x.exports,
		Heads:          x.stores,
		Strategy:       route.New(route.Config{}),
		Admission:      admission.New(admission.Config{}),
		Retry:          retries,
		ReuseEstimator: placement.NewReuseEstimator(reusePrior),
		Guard:          x.guard,
		Backoffs:       x.backoffs,
		Entries:        max(1, len(p.config.File.Entries)),
		Metrics:        p.metrics,
		Logger:         p.config.Logger,
		Now:            time.Now,
		NewAttempt:     newAttemptID,
		Random:         newRandom(),
	})
}

// newServer returns the HTTP server for callers, operators and backend servers.
func (p *process) newServer() inbound.Server {
	mux := http.NewServeMux()
	mux.Handle("/", p.components.caller)
	o := operator.New(operator.Config{
		Log:                p.components.control,
		Settings:           p.components.settings,
		Lease:              p.components.settings,
		InForce:            p.components.settings,
		Actions:            p.actions(),
		BootstrapKeyDigest: p.config.File.BootstrapOperatorKeyDigest,
		Logger:             p.config.Logger,
	})
	for _, r := range append([]string{"/status", "/ledger/", "/quarantine", "/quarantine/"}, operator.Routes...) {
		mux.Handle(r, o)
	}
	b, err := backend.NewHandler(backend.HandlerConfig{
		Table:         p.components.table,
		LeaveNotifier: p.components.leaveNotifier,
		CacheReports:  p.components.cache,
		KeyDigests:    func() [][32]byte { return p.components.settings.View().Rules.Fleet.AnnounceKeyDigests },
		Now:           time.Now,
		Log:           p.config.Logger,
	})
	if err == nil {
		mux.Handle("/fleet/", b)
	}
	platform.New(platform.Config{Ready: p.ready, Metrics: p.metrics}).Register(mux)
	bounds := p.config.File.Clients.Bounds()
	return inbound.New(inbound.Config{
		Name: "http", Handler: mux, Connections: bounds.Connections, Limits: caller.Config{Bounds: bounds}.Limits, Metrics: p.metrics, Logger: p.config.Logger,
		Account: inbound.NewAccount(inbound.AccountConfig{Bounds: bounds, Metrics: p.metrics, Logger: p.config.Logger}),
	})
}

// actions returns the operator actions other than those on the settings.
func (p *process) actions() []operator.Action {
	s := status.Action(status.Config{
		Entry:       p.config.File.Name,
		Replicas:    p.config.File.Control,
		Control:     p.components.control,
		Settings:    p.components.settings,
		Servers:     p.components.table,
		Quarantined: p.components.guard.Quarantined,
		Now:         time.Now,
	})
	all := append(entrycalls.Actions(p.components.control), quarantine.Actions(p.components.control)...)
	return append(all, s)
}

// deleter deletes pieces at stores under their announced addresses.
type deleter struct {
	table  membership.Table
	stores store.Client
}

// Delete implements cachequic.Deleter.
func (d deleter) Delete(ctx context.Context, x directory.Deletion) error {
	s, ok := d.table.View().Server(x.Store)
	if !ok {
		return fmt.Errorf("entry: store %s is not known", x.Store)
	}
	return d.stores.Delete(ctx, s.Announcement().Address, x.Key, x.Generation)
}

func readyStores(t membership.Table) func() []cachequic.StoreVM {
	return func() []cachequic.StoreVM {
		var all []cachequic.StoreVM
		v := t.View()
		for s := range v.All() {
			a := s.Announcement()
			if a.Kind == announcement.Store && a.State == announcement.Ready {
				all = append(all, cachequic.StoreVM{Identity: a.Identity, Incarnation: a.Incarnation, Address: a.Address})
			}
		}
		return all
	}
}

func incarnations(t membership.Table) func(string) uint64 {
	return func(identity string) uint64 {
		s, ok := t.View().Server(identity)
		if !ok {
			return 0
		}
		return s.Announcement().Incarnation
	}
}

func eachIncarnation(t membership.Table) func(func(string, uint64)) {
	return func(visit func(string, uint64)) {
		v := t.View()
		for s := range v.All() {
			a := s.Announcement()
			visit(a.Identity, a.Incarnation)
		}
	}
}
