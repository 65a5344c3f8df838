package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/members"
	"hornbeamwood/internal/control/quic"
	"hornbeamwood/internal/control/reaper"
	"hornbeamwood/internal/control/replica"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/node/inbound"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/process/keyring"
	"hornbeamwood/internal/process/platform"
	"hornbeamwood/internal/settings/lease"
	"hornbeamwood/internal/settings/node"
)

// stopTimeout bounds the transfer of leadership; a stop without a quorum must end too.
const stopTimeout = 10 * time.Second

// Config is what a control process needs.
type Config struct {
	// File is the node file.
	File node.File
	// Sections are the parts of the replicated state.
	Sections []state.Section
	// Settings is the section of the settings.
	Settings Settings
	// Logger receives the events.
	Logger log.Interface
}

// Settings is the part of the settings that a control process reads.
type Settings interface {
	quic.Terms
	// AdmittedReplicas returns the identities of control replicas that operators admit.
	AdmittedReplicas() []string
}

// Process is a running control replica.
type Process interface {
	// Run serves until ctx ends or the disk fails; it returns nil after a graceful stop.
	Run(ctx context.Context) error
}

type process struct {
	config    Config
	ring      keys.Ring
	files     keys.Config
	node      rpc.Node
	transport quic.Transport
	replica   replica.Replica
	reaper    reaper.Reaper
	members   members.Reconciler
	metrics   *metrics.Set
	loops     sync.WaitGroup
}

// New opens the data folder and the sockets of a control process.
func New(c Config) (Process, error) {
	p := &process{config: c, metrics: metrics.NewSet()}
	p.files = keys.Config{
		CertificateFile: c.File.Keys.Certificate,
		KeyFile:         c.File.Keys.PrivateKey,
		AuthorityFile:   c.File.Keys.Authority,
	}
	var err error
	if p.ring, err = keys.NewRing(p.files); err != nil {
		return nil, err
	}
	if p.node, err = rpc.New(rpc.Config{Listen: c.File.Listen.QUIC.String(), Ring: p.ring, Logger: c.Logger}); err != nil {
		return nil, err
	}
	m, err := state.New(c.Sections...)
	if err != nil {
		return nil, errors.Join(err, p.node.Close())
	}
	p.transport = quic.NewTransport(p.node)
	p.replica, err = replica.New(replicaConfig(c, p.transport, m))
	if err != nil {
		p.transport.Close()
		return nil, errors.Join(err, p.node.Close())
	}
	leases := quic.NewLeases(lease.NewHolders(entryNames(c.File)), c.Settings, time.Now)
	leader := quic.Register(quic.Config{Node: p.node, Replica: p.replica, Machine: m, Leases: leases})
	p.reaper = reaper.New(reaper.Config{
		Leader: leader,
		Leases: leases,
		Ledger: localLedger{machine: m, leader: leader},
		Logger: c.Logger,
	})
	p.members = members.NewReconciler(members.Config{
		Replica:  p.replica,
		Prober:   p.transport,
		Seeds:    replicaConfig(c, p.transport, m).Seeds,
		Admitted: c.Settings.AdmittedReplicas,
		Logger:   c.Logger,
	})
	p.registerMetrics()
	return p, nil
}

func entryNames(f node.File) []string {
	names := make([]string, len(f.Entries))
	for i, e := range f.Entries {
		names[i] = e.Name
	}
	return names
}

func replicaConfig(c Config, t replica.Transport, m state.Machine) replica.Config {
	r := replica.Config{
		Name:      c.File.Name,
		Folder:    c.File.DataFolder,
		Transport: t,
		Machine:   m,
		Logger:    c.Logger,
	}
	for _, p := range c.File.Control {
		r.Seeds = append(r.Seeds, replica.Seed{Name: p.Name, Address: p.Address.String()})
		if p.Name == c.File.Name {
			r.Address = p.Address.String()
		}
	}
	return r
}

// registerMetrics registers the process's metrics.
func (p *process) registerMetrics() {
	gauge := func(name string, value func(replica.Status) uint64) {
		p.metrics.NewGauge("hornbeamwood_control_"+name, func() float64 { return float64(value(p.replica.Status())) })
	}
	gauge("term", func(s replica.Status) uint64 { return s.Term })
	gauge("commit_index", func(s replica.Status) uint64 { return s.Commit })
	gauge("applied_index", func(s replica.Status) uint64 { return s.Applied })
	gauge("snapshot_index", func(s replica.Status) uint64 { return s.Snapshot })
	p.metrics.NewGauge("hornbeamwood_quic_sent_bytes", func() float64 { return float64(p.node.BytesSent()) })
	p.metrics.NewGauge("hornbeamwood_keys_expire_seconds", func() float64 { return time.Until(p.ring.Expires()).Seconds() })
}

// Run implements Process.
func (p *process) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p.loops.Go(func() { _ = p.node.Serve(serving) })
	p.loops.Go(func() {
		keyring.Watch(serving, keyring.Config{Ring: p.ring, Files: p.files, Logger: p.config.Logger})
	})
	p.loops.Go(func() { p.reaper.Run(serving) })
	p.loops.Go(func() { p.members.Run(serving) })
	if err := p.servePlatform(serving); err != nil {
		return err
	}
	event.ProcessStarted.Write(p.config.Logger, log.Fields{"role": "control", "name": p.config.File.Name, "quic": p.node.Address(), "zone": p.config.File.Zone})
	select {
	case <-ctx.Done():
	case <-p.replica.Done():
	}
	event.ProcessStopping.Write(p.config.Logger, log.Fields{"role": "control", "name": p.config.File.Name})
	err := p.close()
	stop()
	p.loops.Wait()
	event.ProcessStopped.Write(p.config.Logger, log.Fields{"role": "control", "name": p.config.File.Name})
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

func (p *process) servePlatform(ctx context.Context) error {
	address := p.config.File.Listen.Metrics
	if !address.IsValid() {
		return nil
	}
	bounds := p.config.File.Clients.Bounds()
	l, err := inbound.Listen(ctx, address.String(), bounds.ReceiveBytes)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	s := inbound.NewPlatformServer(inbound.Config{
		Name: "metrics", Handler: platform.New(platform.Config{Ready: p.ready, Metrics: p.metrics}), Metrics: p.metrics, Logger: p.config.Logger,
		Account: inbound.NewAccount(inbound.AccountConfig{Bounds: bounds, Metrics: p.metrics, Logger: p.config.Logger}),
	})
	p.loops.Go(func() { _ = s.Serve(l) })
	p.loops.Go(func() {
		<-ctx.Done()
		_ = s.Close()
	})
	return nil
}

func (p *process) ready() error {
	if s := p.replica.Status(); !s.CaughtUp {
		return fmt.Errorf("the replica is %s and has not caught up", s.Role)
	}
	return nil
}
