package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/node/inbound"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/process/keyring"
	"hornbeamwood/internal/settings/node"
)

const (
	// drainNoticeTime is how long a stopping entry still serves new requests, so that the balancer can detect that it is not ready.
	drainNoticeTime = 3 * time.Second
	// warmUp is how long a started entry is not ready. Within it the entry gets the announcements of all backend servers, directly or from other entries.
	warmUp = 1500 * time.Millisecond
	// releaseTimeout bounds the release of the settings lease.
	releaseTimeout = 2 * time.Second
	// abandonTimeout bounds one try at abandoning the claims of the entry's earlier incarnations.
	abandonTimeout = 2 * time.Second
)

// Config is what an entry process needs.
type Config struct {
	// File is the node file.
	File node.File
	// Dial connects to engines and services; tcp.Dial if it is nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Logger receives the events.
	Logger log.Interface
}

// Process is a running entry.
type Process interface {
	// Run serves until ctx ends, then stops gracefully: no running request is aborted.
	Run(ctx context.Context) error
}

type process struct {
	config      Config
	incarnation uint64
	started     time.Time
	files       keys.Config
	ring        keys.Ring
	node        rpc.Node
	components  components
	server      inbound.Server
	listener    net.Listener
	metrics     *metrics.Set
	stopping    atomic.Bool
	loops       sync.WaitGroup
}

// New opens the sockets of an entry.
func New(c Config) (Process, error) {
	p := &process{
		config:      c,
		incarnation: uint64(time.Now().UnixNano()),
		started:     time.Now(),
		metrics:     metrics.NewSet(),
		files: keys.Config{
			CertificateFile: c.File.Keys.Certificate,
			KeyFile:         c.File.Keys.PrivateKey,
			AuthorityFile:   c.File.Keys.Authority,
		},
	}
	var err error
	if p.ring, err = keys.NewRing(p.files); err != nil {
		return nil, err
	}
	if p.node, err = rpc.New(rpc.Config{Listen: c.File.Listen.QUIC.String(), Ring: p.ring, Logger: c.Logger}); err != nil {
		return nil, err
	}
	if p.listener, err = inbound.Listen(context.Background(), c.File.Listen.HTTP.String(), c.File.Clients.Bounds().ReceiveBytes); err != nil {
		return nil, errors.Join(fmt.Errorf("entry: %w", err), p.node.Close())
	}
	if p.components, err = p.build(); err != nil {
		return nil, errors.Join(err, p.listener.Close(), p.node.Close())
	}
	p.server = p.newServer()
	return p, nil
}

// Run implements Process.
func (p *process) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p.loops.Go(func() { _ = p.node.Serve(serving) })
	p.loops.Go(func() { keyring.Watch(serving, keyring.Config{Ring: p.ring, Files: p.files, Logger: p.config.Logger}) })
	p.loops.Go(func() { p.abandonEarlierClaims(serving) })
	p.loops.Go(func() { p.sweep(serving) })
	failed := make(chan error, 1)
	p.loops.Go(func() { failed <- p.server.Serve(p.listener) })
	fields := log.Fields{"role": "entry", "name": p.config.File.Name, "zone": p.config.File.Zone}
	event.ProcessStarted.Write(p.config.Logger, log.Fields{"http": p.listener.Addr().String(), "quic": p.node.Address(), "name": p.config.File.Name})
	select {
	case <-ctx.Done():
	case err := <-failed:
		return fmt.Errorf("entry: %w", err)
	}
	event.ProcessStopping.Write(p.config.Logger, fields)
	err := p.drain(serving)
	stop()
	p.close()
	p.loops.Wait()
	event.ProcessStopped.Write(p.config.Logger, fields)
	return err
}

// drain ends the entry's work. The readiness check fails first, and new requests are
// served for drainNoticeTime. Running requests end however long they take, also those of other entries that pass
// through this one.
func (p *process) drain(ctx context.Context) error {
	p.stopping.Store(true)
	time.Sleep(drainNoticeTime)
	p.server.InterruptBodies()
	err := p.components.caller.Drain(ctx)
	err = errors.Join(err, p.components.services.Drain(ctx))
	p.awaitTunnels(ctx)
	p.components.router.Close()
	p.components.orderIssuer.Close()
	p.components.guard.Close()
	release, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	// A lease that can't be released expires by itself.
	_ = p.components.settings.Release(release)
	return errors.Join(err, p.server.Shutdown(ctx))
}

func (p *process) close() {
	p.components.settings.Close()
	p.components.gossip.Close()
	p.components.cache.Close()
	p.components.engines.Wait()
	p.components.dialer.Close()
	_ = p.node.Close()
}

// ready returns nil while the entry accepts new work, and otherwise why it doesn't.
func (p *process) ready() error {
	if p.stopping.Load() {
		return errors.New("the entry stops")
	}
	if time.Since(p.started) < warmUp {
		return errors.New("the entry is learning of the backend servers")
	}
	return p.components.settings.Check()
}

// abandonEarlierClaims marks the claims of this entry's earlier incarnations as unknown.
// Without it, a resend of a call that died with the last incarnation would be answered
// for days with the status that the call still runs.
func (p *process) abandonEarlierClaims(ctx context.Context) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, abandonTimeout)
		_, err := p.components.services.Abandon(try, p.config.File.Name, p.incarnation-1)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// sweep removes servers that were silent for long.
func (p *process) sweep(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, i := range p.components.table.Sweep(time.Now()) {
			event.ServerForgotten.Write(p.config.Logger, log.Fields{"server": i})
		}
	}
}
