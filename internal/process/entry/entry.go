package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/process/keyring"
	"hornbeamwood/internal/settings/node"
)

const (
	// noticeTime is how long a stopping entry goes on serving new requests, while the balancer notices that it is not ready.
	noticeTime = 3 * time.Second
	// warmUp is how long a started entry is not ready: within it every backend server announces itself or the other entries tell of it.
	warmUp = 1500 * time.Millisecond
	// releaseTime bounds the hand-over of the settings lease.
	releaseTime = 2 * time.Second
	// abandonTime bounds one try at abandoning the claims of the entry's earlier incarnations.
	abandonTime = 2 * time.Second
)

// Config is what an entry process needs.
type Config struct {
	// File is the node file.
	File node.File
	// Logger takes the events.
	Logger log.Interface
}

// Process is a running entry.
type Process interface {
	// Run serves until ctx ends, then stops gracefully: no running request is cut.
	Run(ctx context.Context) error
}

type process struct {
	config      Config
	incarnation uint64
	started     time.Time
	files       keys.Config
	ring        keys.Ring
	node        rpc.Node
	parts       parts
	server      *http.Server
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
	if p.listener, err = net.Listen("tcp", c.File.Listen.HTTP.String()); err != nil {
		return nil, errors.Join(fmt.Errorf("entry: %w", err), p.node.Close())
	}
	if p.parts, err = p.build(); err != nil {
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
	p.loops.Go(func() { p.abandonEarlier(serving) })
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

// drain ends the entry's work: the health check fails first, new requests are
// served until the balancer has noticed, running ones end however long they take.
func (p *process) drain(ctx context.Context) error {
	p.stopping.Store(true)
	time.Sleep(noticeTime)
	err := p.parts.caller.Drain(ctx)
	err = errors.Join(err, p.parts.services.Drain(ctx))
	p.parts.router.Close()
	p.parts.giver.Close()
	p.parts.guard.Close()
	release, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	// A lease that can't be handed back runs out by itself.
	_ = p.parts.settings.Release(release)
	return errors.Join(err, p.server.Shutdown(ctx))
}

func (p *process) close() {
	p.parts.settings.Close()
	p.parts.gossip.Close()
	p.parts.cache.Close()
	p.parts.engines.Wait()
	_ = p.node.Close()
}

// ready says why the entry takes no new work, nil when it does.
func (p *process) ready() error {
	if p.stopping.Load() {
		return errors.New("the entry stops")
	}
	if time.Since(p.started) < warmUp {
		return errors.New("the entry is learning of the backend servers")
	}
	return p.parts.settings.Check()
}

// abandonEarlier makes the claims of this entry's earlier incarnations
// unknown. Without it a resend of a call that died with the last incarnation
// would be told for days that the call still runs.
func (p *process) abandonEarlier(ctx context.Context) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, abandonTime)
		_, err := p.parts.services.Abandon(try, p.config.File.Name, p.incarnation-1)
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

// sweep forgets servers that were silent for long.
func (p *process) sweep(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, i := range p.parts.table.Sweep(time.Now()) {
			event.ServerForgotten.Write(p.config.Logger, log.Fields{"server": i})
		}
	}
}
